package beamspread.cli;

import beamspread.chaos.Program;
import beamspread.replay.ReplayNodes;
import beamspread.standin.CacheServer;
import beamspread.standin.Discovery;
import beamspread.standin.NodeConfigFile;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** A node that runs from a jar with the flags of the deployment, to be measured from outside. */
final class NodeProcess implements AutoCloseable, ReplayNodes.Running {
  private static final long READY_NANOS = 30_000_000_000L;

  /** Ticks of a second in /proc/PID/stat (sysconf(_SC_CLK_TCK)): 100 on all Linux of today. */
  private static final long TICKS = 100;

  private final Process process;
  private final InetSocketAddress address;
  private final long startMillis;

  private NodeProcess(Process process, InetSocketAddress address, long startMillis) {
    this.process = process;
    this.address = address;
    this.startMillis = startMillis;
  }

  /** Starts a node; returns once it answers. A class archive beside the jar is used. */
  static NodeProcess start(
      Scratch scratch, Path jar, Discovery discovery, List<CacheServer> servers)
      throws IOException, InterruptedException {
    return start(scratch, jar, discovery, servers, null);
  }

  /** The same, with a file of the operators' on connections to cache servers; null for none. */
  static NodeProcess start(
      Scratch scratch, Path jar, Discovery discovery, List<CacheServer> servers, Path poolFile)
      throws IOException, InterruptedException {
    return start(scratch, jar, discovery, servers, poolFile, List.of());
  }

  /** The same, with further flags for its virtual machine. */
  static NodeProcess start(
      Scratch scratch,
      Path jar,
      Discovery discovery,
      List<CacheServer> servers,
      Path poolFile,
      List<String> flags)
      throws IOException, InterruptedException {
    // As a platform without the agent has it: no status is told.
    String text =
        NodeConfigFile.text("n0", 0, 1, discovery.address(), servers, Path.of("none"))
            .replace("\"status_socket\":\"none\",", poolFile == null ? "" : poolFile(poolFile));
    return launch(scratch, jar, "node", text, List.of(), flags);
  }

  /**
   * One of several that start side by side.
   *
   * @param through what its command is given to, such as a tool that binds it to some cores
   */
  static NodeProcess start(
      Scratch scratch,
      Path jar,
      int number,
      Discovery discovery,
      List<CacheServer> servers,
      List<String> through)
      throws IOException, InterruptedException {
    String text =
        NodeConfigFile.text("n" + number, number, 1, discovery.address(), servers, Path.of("none"))
            .replace("\"status_socket\":\"none\",", "");
    return launch(scratch, jar, "node" + number, text, through, List.of());
  }

  /** A node of a replay, with the text of its configuration and of its file on connections. */
  static NodeProcess start(Scratch scratch, Path jar, int number, String config, String pool)
      throws IOException, InterruptedException {
    Path poolFile = scratch.folder().resolve("pool" + number + ".json");
    Files.writeString(poolFile, pool);
    return launch(
        scratch,
        jar,
        "node" + number,
        "{" + poolFile(poolFile) + config.substring(1),
        List.of(),
        List.of());
  }

  private static String poolFile(Path file) {
    return "\"pool_file\":\"" + file.toAbsolutePath().normalize() + "\",";
  }

  /** Starts a node of a configuration whose first port 0 is to be one that is free. */
  private static NodeProcess launch(
      Scratch scratch, Path jar, String name, String text, List<String> through, List<String> flags)
      throws IOException, InterruptedException {
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    Path config = scratch.folder().resolve(name + ".json");
    Files.writeString(config, text.replaceFirst("127\\.0\\.0\\.1:0\"", "127.0.0.1:" + port + '"'));
    List<String> words = new ArrayList<>(through);
    words.addAll(Scratch.java("-Xms32m", "-Xmx32m", "-Xmn12m"));
    words.addAll(
        List.of(
            "-XX:+AlwaysPreTouch",
            "-XX:MaxDirectMemorySize=32m",
            "-XX:ReservedCodeCacheSize=24m",
            "-Dio.netty.jfr.enabled=false",
            "-Dio.netty.machineId=02:00:00:ff:fe:00:00:01",
            "-Dio.netty.processId=1"));
    words.addAll(flags);
    // As the deployment has it: an archive is of use only under the path that it was made with.
    Path whole = jar.toAbsolutePath().normalize();
    Path checkout = whole.getParent().getParent();
    Path archive = whole.resolveSibling("beamspread.jsa");
    if (Files.exists(archive)) {
      words.add("-XX:SharedArchiveFile=" + checkout.relativize(archive));
    }
    words.addAll(List.of("-jar", checkout.relativize(whole).toString(), "serve"));
    Path log = scratch.folder().resolve(name + ".log");
    ProcessBuilder builder =
        new ProcessBuilder(words)
            .directory(checkout.toFile())
            .redirectErrorStream(true)
            .redirectOutput(log.toFile());
    builder.environment().put("ROUTER_CONFIG", config.toString());
    long began = System.nanoTime();
    Process process = builder.start();
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    while (!answers(address)) {
      if (System.nanoTime() - began > READY_NANOS || !process.isAlive()) {
        process.destroyForcibly().waitFor();
        throw new IOException(jar + " does not answer: " + Files.readString(log));
      }
      TimeUnit.MILLISECONDS.sleep(2);
    }
    return new NodeProcess(process, address, (System.nanoTime() - began) / 1_000_000);
  }

  private static boolean answers(InetSocketAddress address) {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(1000);
      socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readNBytes(2), StandardCharsets.US_ASCII)
          .equals("MN");
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public InetSocketAddress address() {
    return address;
  }

  /** From its start until it answered. */
  long startMillis() {
    return startMillis;
  }

  long residentKb() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("\\D", ""));
      }
    }
    return 0;
  }

  long descriptors() throws IOException {
    try (var descriptors = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
      return descriptors.count();
    }
  }

  /** The CPU time that it has used, in milliseconds, to the 10 ms that the system counts in. */
  long cpuMillis() throws IOException {
    long[] both = ownAndSystemMillis();
    return both[0] + both[1];
  }

  /** The same, in its own code and in the system's for it. */
  long[] ownAndSystemMillis() throws IOException {
    return ownAndSystemMillis(Files.readString(Path.of("/proc/" + process.pid() + "/stat")));
  }

  private static long[] ownAndSystemMillis(String stat) {
    // The second field is the program's name in parentheses, and may hold anything (proc(5)).
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return new long[] {
      Long.parseLong(fields[11]) * 1000 / TICKS, Long.parseLong(fields[12]) * 1000 / TICKS
    };
  }

  /**
   * The CPU time of each of its threads, by name, in milliseconds: in its own code, and in the
   * system's for it.
   */
  Map<String, long[]> threadMillis() throws IOException {
    Map<String, long[]> threads = new TreeMap<>();
    try (var tasks = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
      for (Path task : tasks.toList()) {
        String stat = Files.readString(task.resolve("stat"));
        String name = stat.substring(stat.indexOf('(') + 1, stat.lastIndexOf(')'));
        long[] one = ownAndSystemMillis(stat);
        long[] sum = threads.computeIfAbsent(name, key -> new long[2]);
        sum[0] += one[0];
        sum[1] += one[1];
      }
    }
    return threads;
  }

  /** How often each of its threads has waited and was woken, by name (proc(5)). */
  Map<String, Long> threadWakeUps() throws IOException {
    Map<String, Long> threads = new TreeMap<>();
    try (var tasks = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
      for (Path task : tasks.toList()) {
        Path status = task.resolve("status");
        threads.merge(
            field(status, "Name"),
            Long.parseLong(field(status, "voluntary_ctxt_switches")),
            Long::sum);
      }
    }
    return threads;
  }

  /** The calls that have read and written, of files and sockets (proc(5)). */
  long readAndWriteCalls() throws IOException {
    Path io = Path.of("/proc/" + process.pid() + "/io");
    return Long.parseLong(field(io, "syscr")) + Long.parseLong(field(io, "syscw"));
  }

  private static String field(Path file, String name) throws IOException {
    for (String line : Files.readAllLines(file)) {
      if (line.startsWith(name + ":")) {
        return line.substring(name.length() + 1).strip();
      }
    }
    throw new IOException(file + " has no " + name);
  }

  /** Ends it by plan, so that it writes what it was to write at its end. */
  void end() throws InterruptedException {
    process.destroy();
    process.waitFor(READY_NANOS, TimeUnit.NANOSECONDS);
  }

  /** Stops it as a throttled core or a pause of the machine does, or has it go on. */
  void signal(String name) throws IOException, InterruptedException {
    Program.signal(name, process.pid());
  }

  @Override
  public void kill() {
    close();
  }

  @Override
  public void close() {
    process.destroyForcibly().onExit().join();
  }
}
