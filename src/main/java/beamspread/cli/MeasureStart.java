package beamspread.cli;

import beamspread.standin.CacheServer;
import beamspread.standin.Discovery;
import beamspread.standin.NodeConfigFile;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
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
  private static final long READY_NANOS = 30_000_000_000L;

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
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    Path config = scratch.folder().resolve("node.json");
    // As a platform without the agent has it: no status is told.
    Files.writeString(
        config,
        NodeConfigFile.text("n0", 0, 1, discovery.address(), servers, Path.of("none"))
            .replace("\"status_socket\":\"none\",", "")
            .replace("127.0.0.1:0", "127.0.0.1:" + port));
    List<String> words = new ArrayList<>(Scratch.java("-Xms32m", "-Xmx32m", "-Xmn12m"));
    words.addAll(
        List.of(
            "-XX:+AlwaysPreTouch",
            "-XX:MaxDirectMemorySize=32m",
            "-XX:ReservedCodeCacheSize=24m",
            "-Dio.netty.jfr.enabled=false",
            "-Dio.netty.machineId=02:00:00:ff:fe:00:00:01",
            "-Dio.netty.processId=1"));
    // As the deployment has it: an archive is of use only under the path that it was made with.
    Path checkout = jar.toAbsolutePath().normalize().getParent().getParent();
    Path archive = jar.toAbsolutePath().normalize().resolveSibling("beamspread.jsa");
    if (Files.exists(archive)) {
      words.add("-XX:SharedArchiveFile=" + checkout.relativize(archive));
    }
    words.addAll(
        List.of("-jar", checkout.relativize(jar.toAbsolutePath().normalize()).toString(), "serve"));
    ProcessBuilder builder =
        new ProcessBuilder(words)
            .directory(checkout.toFile())
            .redirectErrorStream(true)
            .redirectOutput(scratch.folder().resolve("node.log").toFile());
    builder.environment().put("ROUTER_CONFIG", config.toString());
    long began = System.nanoTime();
    Process process = builder.start();
    try {
      while (!answers(port)) {
        if (System.nanoTime() - began > READY_NANOS || !process.isAlive()) {
          throw new IOException(
              jar + " does not answer: " + Files.readString(scratch.folder().resolve("node.log")));
        }
        TimeUnit.MILLISECONDS.sleep(2);
      }
      long millis = (System.nanoTime() - began) / 1_000_000;
      long resident = 0;
      for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
        if (line.startsWith("VmRSS:")) {
          resident = Long.parseLong(line.replaceAll("\\D", ""));
        }
      }
      try (var descriptors = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
        return new long[] {millis, resident, descriptors.count()};
      }
    } finally {
      process.destroyForcibly().waitFor();
    }
  }

  private static boolean answers(int port) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(1000);
      socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readNBytes(2), StandardCharsets.US_ASCII)
          .equals("MN");
    } catch (IOException e) {
      return false;
    }
  }
}
