package beamspread.cli;

import beamspread.agent.Agent;
import beamspread.fleet.AgentClient;
import beamspread.fleet.Fleet;
import beamspread.fleet.LeaseKeeper;
import beamspread.fleet.api.Api;
import beamspread.fleet.api.Kind;
import beamspread.lease.FencingToken;
import beamspread.lease.LeaseStore;
import beamspread.record.JdbcLeases;
import beamspread.scale.LeaseTrial;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures how soon a dead owner's lease passes on, and what fencing costs a call. */
@Command(
    name = "lease",
    description =
        "Measures the time from an owner's death to the next owner, and what a fencing token adds"
            + " to a call of an agent. The store is a file of SQLite.",
    mixinStandardHelpOptions = true,
    footer = {"", "Example: ./beamspread measure lease --durations 2,5,10 --agents 10,100,1024"})
final class MeasureLease implements Callable<Integer> {
  private static final String NAME = "rollout/measured";
  private static final String INSTANCE = "n0";
  private static final long TTL_MILLIS = 60_000;
  private static final double CALL_AIM_MS = 2;
  private static final int MOST_AGENTS = 1024;

  /** Deaths that are waited for side by side, each of a lease of its own. */
  private static final int DEATHS_AT_ONCE = 20;

  private static final double TAKE_OVER_AIM_S = 1;

  @Option(
      names = "--durations",
      split = ",",
      defaultValue = "2,5",
      description = "durations of a lease in seconds, 1 to 60 each (default: 2,5)")
  private List<Integer> durations;

  @Option(names = "--rounds", defaultValue = "5", description = "deaths a duration (default: 5)")
  private int rounds;

  @Option(
      names = "--agents",
      split = ",",
      description = "sizes of a fleet, 1 to 1024 each, whose agents learn of a new owner")
  private List<Integer> agents = List.of();

  @Option(names = "--calls", defaultValue = "200", description = "calls of each kind")
  private int calls;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    Bounds.check(spec.commandLine(), "--rounds", rounds, 1, 1000);
    Bounds.check(spec.commandLine(), "--calls", calls, 10, 100_000);
    for (int duration : durations) {
      Bounds.check(spec.commandLine(), "--durations", duration, 1, 60);
    }
    for (int size : agents) {
      Bounds.check(spec.commandLine(), "--agents", size, 1, MOST_AGENTS);
    }
    PrintWriter out = spec.commandLine().getOut();
    boolean good = true;
    try (Scratch scratch = new Scratch()) {
      Path file = scratch.folder().resolve("leases.db");
      for (int duration : durations) {
        good &= deaths(file, duration, out);
      }
      good &= fencedCalls(scratch, out);
    }
    for (int size : agents) {
      newOwner(size, out);
    }
    out.flush();
    return good ? 0 : 1;
  }

  /**
   * From an owner's death, at any time between two renewals, until the next one holds the lease.
   */
  private boolean deaths(Path file, int seconds, PrintWriter out) throws Exception {
    ExecutorService owners = Executors.newFixedThreadPool(DEATHS_AT_ONCE);
    double[] took = new double[rounds];
    try {
      List<Future<Double>> deaths = new ArrayList<>();
      for (int i = 0; i < rounds; i++) {
        int number = i;
        deaths.add(owners.submit(() -> death(file, seconds, number)));
      }
      for (int i = 0; i < rounds; i++) {
        took[i] = deaths.get(i).get();
      }
    } finally {
      owners.shutdownNow();
    }
    Arrays.sort(took);
    out.printf(
        "lease of %d s, %d deaths: the next owner after least %s, median %s, 99th percentile %s,"
            + " most %s s%n",
        seconds,
        rounds,
        Table.decimal(took[0], 2),
        Table.decimal(took[rounds / 2], 2),
        Table.decimal(percentile99(took), 2),
        Table.decimal(took[rounds - 1], 2));
    out.flush();
    return percentile99(took) <= seconds + TAKE_OVER_AIM_S;
  }

  /** One death, of the owner of a lease of its own; the seconds to the next owner. */
  private double death(Path file, int seconds, int number) throws Exception {
    long nanos = seconds * 1_000_000_000L;
    String name = NAME + "-" + seconds + "-" + number;
    try (LeaseStore dying = JdbcLeases.sqlite(file);
        LeaseStore other = JdbcLeases.sqlite(file)) {
      dying.acquire(name, "dead", "the dead", seconds * 1000L, true);
      TimeUnit.NANOSECONDS.sleep(nanos / 3 * number / rounds);
      long diedAt = System.nanoTime();
      LeaseKeeper.acquire(other, name, "the next", nanos, LeaseKeeper.Otherwise.WAIT, held -> {})
          .close();
      return (System.nanoTime() - diedAt) / 1e9;
    }
  }

  /** What it takes a new owner to be known to all agents. */
  private static void newOwner(int size, PrintWriter out) throws Exception {
    try (Scratch scratch = new Scratch()) {
      LeaseTrial.Seconds took = LeaseTrial.play(size, scratch.folder());
      out.printf(
          "%d agents, one after the other: without a token %s s, with a known one %s s, with a new"
              + " owner's %s s%n",
          size,
          Table.decimal(took.unfenced(), 2),
          Table.decimal(took.known(), 2),
          Table.decimal(took.higher(), 2));
      out.flush();
    }
  }

  /** Calls without a token, with one that is known, and with ever higher ones, in turn. */
  private boolean fencedCalls(Scratch scratch, PrintWriter out) throws Exception {
    Files.writeString(scratch.folder().resolve(INSTANCE + ".json"), "{}\n");
    Agent agent =
        scratch.agent(
            "agent-1",
            0,
            1,
            i ->
                Scratch.instance(
                    INSTANCE, "z0", MeasureReload.standIn(scratch.folder(), INSTANCE)));
    double[] plain = new double[calls];
    double[] known = new double[calls];
    double[] higher = new double[calls];
    try (Fleet fleet = scratch.fleet(List.of(agent))) {
      Scratch.awaitRunning(fleet, 1);
      AgentClient client = fleet.clients().get("agent-1");
      FencingToken first = new FencingToken("known/measured", 1);
      for (int i = 0; i < calls; i++) {
        plain[i] = lease(client, null, i);
        known[i] = lease(client, first, i);
        higher[i] = lease(client, new FencingToken(NAME, i + 1), i);
      }
    }
    double unfenced = median(plain);
    out.printf(
        "%d calls of each kind, median: without a token %s ms, with a known one %s ms, with a"
            + " higher one, written and synced first, %s ms%n",
        calls,
        Table.decimal(unfenced, 2),
        Table.decimal(median(known), 2),
        Table.decimal(median(higher), 2));
    return median(known) - unfenced <= CALL_AIM_MS;
  }

  private static double lease(AgentClient client, FencingToken token, int number) throws Exception {
    client.fence(token);
    String session = "s" + number;
    var ask =
        new Api.LeaseAsk(
            session, "op-" + number, Kind.RELOAD, "measure", List.of(INSTANCE), TTL_MILLIS, null);
    long at = System.nanoTime();
    client.lease(ask);
    double took = (System.nanoTime() - at) / 1e6;
    client.release(new Api.LeaseEnd(session, "op-" + number, "ended"));
    return took;
  }

  /** By nearest rank: the most where there are fewer than a hundred. */
  private static double percentile99(double[] sorted) {
    return sorted[(int) Math.ceil(0.99 * sorted.length) - 1];
  }

  private static double median(double[] values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }
}
