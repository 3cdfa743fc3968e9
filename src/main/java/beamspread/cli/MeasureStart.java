package beamspread.cli;

import beamspread.standin.CacheServer;
import beamspread.standin.Discovery;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
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
            + " memory and its descriptors then. A class archive beside a jar is used.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Example: ./beamspread measure start ../before/beamspread.jar target/beamspread.jar"
    })
final class MeasureStart implements Callable<Integer> {
  @Parameters(paramLabel = "JAR", arity = "1..8", description = "node jars")
  private List<Path> jars;

  @Option(names = "--rounds", defaultValue = "15", description = "starts of each (default: 15)")
  private int rounds;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    PrintWriter out = spec.commandLine().getOut();
    if (rounds < 1 || rounds > 200) {
      throw new CommandLine.ParameterException(spec.commandLine(), "--rounds must be 1 to 200");
    }
    Map<Path, long[][]> figures = new LinkedHashMap<>();
    var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (Scratch scratch = new Scratch()) {
      List<CacheServer> servers = List.of(new CacheServer(group.next(), 1000, 100));
      Discovery discovery = new Discovery(group.next(), servers);
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

  private static long[] start(
      Scratch scratch, Path jar, Discovery discovery, List<CacheServer> servers)
      throws IOException, InterruptedException {
    try (NodeProcess node = NodeProcess.start(scratch, jar, discovery, servers)) {
      return new long[] {node.startMillis(), node.residentKb(), node.descriptors()};
    }
  }
}
