package beamspread.cli;

import beamspread.standin.CacheServer;
import beamspread.standin.Discovery;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Times the start of nodes from several jars, in turn, so that all meet the same machine. */
@Command(
    name = "start",
    description =
        "Starts nodes from several jars in turn; tells the time until each answers, its"
            + " memory and its descriptors then. A class archive beside a jar is used. With"
            + " --together, kills so many of each jar and starts them again at once.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Examples:",
      "  ./beamspread measure start ../before/beamspread.jar target/beamspread.jar",
      "  ./beamspread measure start target/beamspread.jar --together 30 --cores 0,1",
      "",
      "Exit codes: 0 if nine in ten that started at once answered within 10 s, 1 if not."
    })
final class MeasureStart implements Callable<Integer> {
  /** Nine in ten restarted processes have to be ready by then. */
  private static final long READY_MILLIS = 10_000;

  @Parameters(paramLabel = "JAR", arity = "1..8", description = "node jars")
  private List<Path> jars;

  @Option(names = "--rounds", defaultValue = "15", description = "starts of each (default: 15)")
  private int rounds;

  @Option(
      names = "--together",
      defaultValue = "0",
      description = "how many nodes start at once, 0 for one after the other (default: 0)")
  private int together;

  @Option(names = "--cores", description = "the cores that these are bound to, such as 0,1")
  private String cores;

  @Option(names = "--no-discovery", description = "with --together: discovery refuses all calls")
  private boolean noDiscovery;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    PrintWriter out = spec.commandLine().getOut();
    if (rounds < 1 || rounds > 200) {
      throw new CommandLine.ParameterException(spec.commandLine(), "--rounds must be 1 to 200");
    }
    Bounds.check(spec.commandLine(), "--together", together, 0, 1024);
    if (cores != null && !cores.matches("[0-9]+([-,][0-9]+)*")) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "--cores takes numbers such as 0,1 or 0-3");
    }
    Map<Path, long[][]> figures = new LinkedHashMap<>();
    var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (Scratch scratch = new Scratch()) {
      List<CacheServer> servers = List.of(new CacheServer(group.next(), 1000, 100));
      Discovery discovery = new Discovery(group.next(), servers);
      if (together > 0) {
        if (noDiscovery) {
          discovery.close();
        }
        return together(scratch, discovery, servers, out);
      }
      for (int round = 0; round < rounds; round++) {
        for (Path jar : jars) {
          long[] one = start(scratch, jar, discovery, servers);
          long[][] all = figures.computeIfAbsent(jar, key -> new long[3][rounds]);
          for (int i = 0; i < one.length; i++) {
            all[i][round] = one[i];
          }
        }
      }
    } finally {
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
    out.println("least, median, most of " + rounds + " starts of each, in turn");
    for (Path jar : jars) {
      long[][] all = figures.get(jar);
      out.printf(
          "%s: %d bytes; until it answers %s ms; resident %s kB; descriptors %s%n",
          jar,
          Files.size(jar),
          MeasureReload.spread(all[0]),
          MeasureReload.spread(all[1]),
          MeasureReload.spread(all[2]));
    }
    return 0;
  }

  private int together(
      Scratch scratch, Discovery discovery, List<CacheServer> servers, PrintWriter out)
      throws Exception {
    boolean good = true;
    for (Path jar : jars) {
      atOnce(scratch, jar, discovery, servers);
      long[] millis = atOnce(scratch, jar, discovery, servers);
      Arrays.sort(millis);
      long within = Arrays.stream(millis).filter(one -> one <= READY_MILLIS).count();
      out.printf(
          "%s: %d nodes at once%s%s, until each answers: least %d, median %d, nine in ten %d,"
              + " most %d ms; %d within %d s%n",
          jar,
          together,
          cores == null ? "" : " on cores " + cores,
          noDiscovery ? ", discovery away" : "",
          millis[0],
          millis[together / 2],
          millis[(together * 9 + 9) / 10 - 1],
          millis[together - 1],
          within,
          READY_MILLIS / 1000);
      out.flush();
      good &= within * 10 >= together * 9L;
    }
    return good ? 0 : 1;
  }

  /** Starts all and kills all; when each answered, from the first start on. */
  private long[] atOnce(Scratch scratch, Path jar, Discovery discovery, List<CacheServer> servers)
      throws Exception {
    List<String> through = cores == null ? List.of() : List.of("taskset", "-c", cores);
    ExecutorService starters = Executors.newFixedThreadPool(together);
    List<NodeProcess> nodes = new ArrayList<>();
    try {
      List<Future<NodeProcess>> begun = new ArrayList<>();
      for (int i = 0; i < together; i++) {
        int number = i;
        begun.add(
            starters.submit(
                () -> NodeProcess.start(scratch, jar, number, discovery, servers, through)));
      }
      for (Future<NodeProcess> one : begun) {
        nodes.add(one.get());
      }
      return nodes.stream().mapToLong(NodeProcess::startMillis).toArray();
    } finally {
      nodes.forEach(NodeProcess::close);
      starters.shutdown();
    }
  }

  private static long[] start(
      Scratch scratch, Path jar, Discovery discovery, List<CacheServer> servers)
      throws IOException, InterruptedException {
    try (NodeProcess node = NodeProcess.start(scratch, jar, discovery, servers)) {
      return new long[] {node.startMillis(), node.residentKb(), node.descriptors()};
    }
  }
}
