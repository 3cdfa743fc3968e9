package beamspread.cli;

import beamspread.agent.Agent;
import beamspread.fleet.Fleet;
import beamspread.fleet.Report;
import beamspread.fleet.RolloutOptions;
import beamspread.fleet.RolloutPlan;
import beamspread.fleet.RolloutRunner;
import beamspread.fleet.Selection;
import beamspread.fleet.Target;
import beamspread.fleet.api.Api;
import beamspread.fleet.api.Kind;
import beamspread.standin.CacheServer;
import beamspread.standin.Discovery;
import beamspread.standin.LoadClients;
import beamspread.standin.NodeConfigFile;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** A whole fleet on this machine, to watch. */
@Command(
    name = "demo",
    description =
        "Runs stand-in cache servers, discovery, an agent, some nodes and a bounded stream"
            + " of clients on this machine; reloads the nodes one after the other, kills one, and ends"
            + " by itself. Exit code 0 if no request was lost.",
    mixinStandardHelpOptions = true,
    footer = {"", "Example: ./beamspread demo --nodes 6 --rate 600"})
final class DemoCommand implements Callable<Integer> {
  private static final int SERVERS = 3;
  private static final long ANSWER_MICROS = 2000;

  @Option(names = "--nodes", defaultValue = "4", description = "nodes, 2 to 16 (default: 4)")
  private int nodes;

  @Option(
      names = "--rate",
      defaultValue = "300",
      description = "requests a second over all nodes, 1 to 5000 (default: 300)")
  private double rate;

  @Option(
      names = "--seconds",
      defaultValue = "14",
      description = "how long clients ask, 6 to 120 (default: 14)")
  private int seconds;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  private final AtomicReference<List<InetSocketAddress>> addresses =
      new AtomicReference<>(List.of());
  private PrintWriter out;
  private long beganAt;

  @Override
  public Integer call() throws Exception {
    if (nodes < 2 || nodes > 16 || !(rate >= 1 && rate <= 5000) || seconds < 6 || seconds > 120) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "--nodes 2 to 16, --rate 1 to 5000, --seconds 6 to 120");
    }
    out = spec.commandLine().getOut();
    beganAt = System.nanoTime();
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    try (Scratch scratch = new Scratch()) {
      List<CacheServer> servers = new ArrayList<>();
      for (int i = 0; i < SERVERS; i++) {
        servers.add(new CacheServer(group.next(), ANSWER_MICROS, 64));
      }
      Discovery discovery = new Discovery(group.next(), servers);
      for (int i = 0; i < nodes; i++) {
        configure(scratch, i, discovery, servers);
      }
      say("starting " + nodes + " nodes, each a process of its own, under one agent");
      Agent agent =
          scratch.agent(
              "agent-1",
              0,
              nodes,
              i -> Scratch.instance("n" + i, i % 2 == 0 ? "east" : "west", Scratch.node()));
      try (Fleet fleet = scratch.fleet(List.of(agent))) {
        List<Api.InstanceView> running = Scratch.awaitRunning(fleet, nodes);
        say("all nodes run; the agent listens on " + agent.url());
        follow(running);
        return play(fleet, running, new LoadClients(group.next(), addresses::get, 1));
      }
    } finally {
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
  }

  private void configure(
      Scratch scratch, int number, Discovery discovery, List<CacheServer> servers)
      throws java.io.IOException {
    Files.writeString(
        scratch.folder().resolve("n" + number + ".json"),
        NodeConfigFile.text(
            "n" + number,
            number,
            nodes,
            discovery.address(),
            servers,
            scratch.folder().resolve("n" + number + ".sock")));
  }

  /** Clients ask the nodes that run. */
  private void follow(List<Api.InstanceView> instances) {
    List<InetSocketAddress> found = new ArrayList<>();
    for (Api.InstanceView one : instances) {
      if (one.state().equals("running") && one.status() != null) {
        String[] at = one.status().path("listen").asText().split(":");
        found.add(new InetSocketAddress(at[0], Integer.parseInt(at[1])));
      }
    }
    addresses.set(List.copyOf(found));
  }

  private int play(Fleet fleet, List<Api.InstanceView> running, LoadClients clients)
      throws Exception {
    var done = clients.run((long) (seconds * rate), rate);
    say("clients ask " + (long) rate + " requests a second for " + seconds + " s");
    pass(fleet, clients, seconds / 6.0);

    say("a rolling reload, one node after the other:");
    List<Target> targets = Selection.all().of(running);
    Report report =
        new RolloutRunner(
                fleet,
                RolloutRunner.Limits.usual(),
                result ->
                    say(
                        "  "
                            + result.instance()
                            + " "
                            + result.outcome().word()
                            + ": "
                            + result.reason()))
            .run(
                "demo-reload",
                "demo",
                new RolloutPlan(Kind.RELOAD, new RolloutOptions(1, 1, 0, 100, 1), targets),
                Map.of(),
                List.of());
    pass(fleet, clients, seconds / 6.0);

    Api.InstanceView victim = running.get(running.size() - 1);
    say("killing " + victim.name() + " (process " + victim.pid() + ") under load");
    ProcessHandle.of(victim.pid()).ifPresent(ProcessHandle::destroyForcibly);
    long killedAt = System.nanoTime();
    boolean back = false;
    long until = System.nanoTime() + (long) (seconds * 1e9) * 2 + 10_000_000_000L;
    while (!(done.isDone() && back) && System.nanoTime() < until) {
      List<Api.InstanceView> now = Fleet.flat(fleet.instances(Selection.all()));
      follow(now);
      for (Api.InstanceView one : now) {
        if (!back
            && one.name().equals(victim.name())
            && one.state().equals("running")
            && !victim.pid().equals(one.pid())) {
          back = true;
          say(
              victim.name()
                  + " runs again as process "
                  + one.pid()
                  + ", "
                  + (System.nanoTime() - killedAt) / 1_000_000
                  + " ms after its death");
        }
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
    clients.stop();
    LoadClients.Counts counts = clients.counts().get(10, TimeUnit.SECONDS);
    say("");
    say("asked    " + counts.asked());
    say("served   " + counts.served());
    say("refused  " + counts.refused());
    say("failed   " + counts.failed());
    say("lost     " + (counts.lost() + counts.open()));
    say("asked another node after a broken connection or a failure: " + counts.again());
    boolean good = counts.lost() + counts.open() == 0 && back && report.exitCode() == 0;
    say(good ? "no request was lost" : "something is wrong: see above");
    return good ? 0 : 1;
  }

  private void pass(Fleet fleet, LoadClients clients, double length) throws Exception {
    TimeUnit.MILLISECONDS.sleep((long) (length * 1000));
    LoadClients.Counts counts = clients.counts().get(10, TimeUnit.SECONDS);
    say(counts.served() + " served, " + counts.refused() + " refused, " + counts.lost() + " lost");
    follow(Fleet.flat(fleet.instances(Selection.all())));
  }

  private synchronized void say(String line) {
    out.printf("%6.1f s  %s%n", (System.nanoTime() - beganAt) / 1e9, line);
    out.flush();
  }
}
