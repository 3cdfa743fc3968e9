package beamspread.cli;

import beamspread.standin.CacheServer;
import beamspread.standin.Discovery;
import beamspread.standin.OpenLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Connections to cache servers: a surge from idle to full load, and what steady load costs. */
@Command(
    name = "pool",
    description =
        "Puts nodes of each jar, in turn, under a load from idle to full within a millisecond, over"
            + " stand-in servers that take few connections and work on each new one; then under"
            + " steady loads. Tells times, connections, refusals and the node's CPU time.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Example: ./beamspread measure pool ../before/target/beamspread.jar target/beamspread.jar",
      "",
      "A jar may be followed by '=FILE', the pool_file that its node is given."
    })
final class MeasurePool implements Callable<Integer> {
  private static final int SERVERS = 6;
  private static final int WINDOW_MILLIS = 100;
  private static final int SURGE_MILLIS = 3000;

  /** Requests a second of the surge; with 40 ms an answer some ten are out at each server. */
  private static final int SURGE_RATE = 1500;

  /** What the surge is over with: the 99th percentile of a window is back under this. */
  private static final long AIM_MICROS = 150_000;

  private static final int[] STEADY = {300, 2000, 4900};

  @Parameters(
      paramLabel = "JAR[=FILE]",
      arity = "0..8",
      description = "node jars (default: target/beamspread.jar)")
  private List<String> jars = new ArrayList<>();

  @Option(names = "--rounds", defaultValue = "5", description = "of each (default: 5)")
  private int rounds;

  @Option(names = "--seconds", defaultValue = "5", description = "of steady load (default: 5)")
  private int seconds;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  private final CacheServer.Conduct small = new CacheServer.Conduct(40_000, 8, true, 2000, 0);
  private final CacheServer.Conduct fast = new CacheServer.Conduct(2000, 40, true, 1000, 0);

  @Override
  public Integer call() throws Exception {
    if (rounds < 1 || rounds > 100 || seconds < 1 || seconds > 600) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "--rounds must be 1 to 100, --seconds 1 to 600");
    }
    if (jars.isEmpty()) {
      jars.add("target/beamspread.jar");
    }
    PrintWriter out = spec.commandLine().getOut();
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    try (Scratch scratch = new Scratch()) {
      surge(scratch, group, out);
      for (int rate : STEADY) {
        steady(scratch, group, out, rate);
      }
    } finally {
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
    return 0;
  }

  /** The stand-ins of one run, and the node before them. */
  private final class Stage implements AutoCloseable {
    final List<CacheServer> servers = new ArrayList<>();
    final NodeProcess node;

    Stage(Scratch scratch, EventLoopGroup group, String jar, CacheServer.Conduct conduct)
        throws Exception {
      for (int i = 0; i < SERVERS; i++) {
        servers.add(new CacheServer(group.next(), conduct));
      }
      String[] parts = jar.split("=", 2);
      node =
          NodeProcess.start(
              scratch,
              Path.of(parts[0]),
              new Discovery(group.next(), servers),
              servers,
              parts.length > 1 ? Path.of(parts[1]) : null);
    }

    long handshakes() {
      return servers.stream().mapToLong(CacheServer::handshakes).sum();
    }

    long beyond() {
      return servers.stream().mapToLong(CacheServer::beyondLimit).sum();
    }

    @Override
    public void close() {
      node.close();
      servers.forEach(CacheServer::close);
    }
  }

  private void surge(Scratch scratch, EventLoopGroup group, PrintWriter out) throws Exception {
    Table table =
        new Table(
            "SURGE",
            "JAR",
            "BACK UNDER AIM MS",
            "P50 MS",
            "P99 MS",
            "CONNECTS",
            "BEYOND LIMIT",
            "TURNED AWAY",
            "FAILED");
    long[][][] all = new long[7][jars.size()][rounds];
    for (int round = 0; round < rounds; round++) {
      for (int jar = 0; jar < jars.size(); jar++) {
        try (Stage stage = new Stage(scratch, group, jars.get(jar), small)) {
          warm(stage, group, 2);
          long connects = stage.handshakes();
          long beyond = stage.beyond();
          List<OpenLoop.Window> windows =
              new OpenLoop(group.next(), stage.node.address(), round)
                  .connect(64)
                  .run(SURGE_RATE, SURGE_MILLIS, WINDOW_MILLIS)
                  .get(60, TimeUnit.SECONDS);
          Histogram whole = new Histogram(1, 60_000_000L, 3);
          long back = 0;
          long failed = 0;
          long refused = 0;
          for (int i = 0; i < windows.size(); i++) {
            OpenLoop.Window window = windows.get(i);
            whole.add(window.served);
            failed += window.failed;
            refused += window.refused;
            if (window.served.getValueAtPercentile(99) > AIM_MICROS) {
              back = (i + 1L) * WINDOW_MILLIS;
            }
          }
          long[] figures = {
            back,
            whole.getValueAtPercentile(50) / 1000,
            whole.getValueAtPercentile(99) / 1000,
            stage.handshakes() - connects,
            stage.beyond() - beyond,
            refused,
            failed
          };
          for (int i = 0; i < figures.length; i++) {
            all[i][jar][round] = figures[i];
          }
        }
      }
    }
    for (int jar = 0; jar < jars.size(); jar++) {
      Object[] row = new Object[9];
      row[0] = SURGE_RATE + "/s";
      row[1] = jars.get(jar);
      for (int i = 0; i < 7; i++) {
        row[2 + i] = MeasureReload.spread(all[i][jar]);
      }
      table.row(row);
    }
    table.print(out);
    out.println("least, median, most of " + rounds + " rounds, the jars in turn");
    out.flush();
  }

  private static void warm(Stage stage, EventLoopGroup group, int seed) throws Exception {
    new OpenLoop(group.next(), stage.node.address(), seed)
        .connect(2)
        .run(20, 1000, 1000)
        .get(60, TimeUnit.SECONDS);
  }

  private void steady(Scratch scratch, EventLoopGroup group, PrintWriter out, int rate)
      throws Exception {
    Table table =
        new Table("STEADY", "JAR", "CPU US A REQUEST", "P50 US", "P99 US", "CONNECTS IN 1000");
    long[][][] all = new long[4][jars.size()][rounds];
    for (int round = 0; round < rounds; round++) {
      for (int jar = 0; jar < jars.size(); jar++) {
        try (Stage stage = new Stage(scratch, group, jars.get(jar), fast)) {
          load(stage, group, round, rate, 4);
          long cpu = stage.node.cpuMillis();
          long connects = stage.handshakes();
          Histogram whole = load(stage, group, round + 100, rate, seconds);
          long requests = (long) rate * seconds;
          all[0][jar][round] = (stage.node.cpuMillis() - cpu) * 1000 / requests;
          all[1][jar][round] = whole.getValueAtPercentile(50);
          all[2][jar][round] = whole.getValueAtPercentile(99);
          all[3][jar][round] = (stage.handshakes() - connects) * 1000 / requests;
        }
      }
    }
    for (int jar = 0; jar < jars.size(); jar++) {
      Object[] row = {rate + "/s", jars.get(jar), "", "", "", ""};
      for (int i = 0; i < 4; i++) {
        row[2 + i] = MeasureReload.spread(all[i][jar]);
      }
      table.row(row);
    }
    table.print(out);
    out.flush();
  }

  private static Histogram load(
      Stage stage, EventLoopGroup group, long seed, int rate, int forSeconds) throws Exception {
    Histogram whole = new Histogram(1, 60_000_000L, 3);
    for (OpenLoop.Window window :
        new OpenLoop(group.next(), stage.node.address(), seed)
            .connect(24)
            .run(rate, forSeconds * 1000L, 1000)
            .get(60 + forSeconds, TimeUnit.SECONDS)) {
      whole.add(window.served);
    }
    return whole;
  }
}
