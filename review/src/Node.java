import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A node as the platform runs it: the command {@code run} of the deploy file. */
final class Node implements AutoCloseable {
  private static final List<Node> started = new ArrayList<>();

  /** What a case sets in the configuration. */
  static final class Setup {
    String name = "n0";
    int number = 0;
    int nodes = 2;
    int memoryMb = 192;
    int sockets = 1024;
    int port;
    int mgmtPort;
    int discoveryPort;
    String known;
    String services =
        """
        {"name":"square-read","credit":2.0,"effect":"retryable","give-up":2.0,"group":"all",
         "late-share":0.25,"repeat-window":5.0,"slo":0.75,"streamed":false},
        {"name":"sheet-submit","credit":5.0,"effect":"fragile","give-up":1.0,"group":"all",
         "late-share":0.3,"repeat-window":5.0,"slo":0.3,"streamed":false}""";
    Path temporary;

    /** Whether the platform's limit on descriptors is set for the process. */
    boolean limitDescriptors;

    String text() {
      return """
          {"name":"%s","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"%x",%s
           "limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
           "known":%s,
           "settings":{"azs":["budapest","debrecen"],
            "caps":{"attempts-cap":6,"cancel":true,"conn-idle":60.0,"connect-timeout":0.15,
             "cpu-us-per-request":0.0,"cpu-us-per-s":400000,"max-retry-after":1.0,
             "may-tell":false,"multiplex":32,"open-cap":20000,"parallel-tries":true,
             "probing":true,"retry-after":false},
            "clients":{"marks-retry":true},
            "contract":{"ask-within":10.0,"cold-from":0.12,"drain-grace":2.0,
             "grace-to-answer":0.02,"overload-factor":3.0,"overload-for":2.0,"warm-within":24.0},
            "discovery":"ask",
            "family-info":{"mode":"through","notes":"1 hit, 2 miss","origin-fall":3.0,
             "origin-fall-multiple":0.0,"origin-kind":-1},
            "feedback":{"fields":[],"via":"silent"},
            "goal":{"whole":0.8,"worst-class":0.1,"worst-tenant":0.0,"worst-window":0.1},
            "instances":%d,"kinds":["big-box","small-box"],"my-number":%d,
            "over-share-worth":0.1,"period":0.005,
            "prices":{"connection":0.0,"cross-zone":0.03,"discovery":0.0,"handshake":0.0,
             "late-fail":0.05,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.04},
            "service-type":"cache","services":[%s],"tenants":[],"tier":0,
            "tiers":["lista-cache"],"value-by":"request","weight-kind":"rough",
            "zone":"budapest"}}
          """
          .formatted(
              name,
              port,
              discoveryPort,
              System.nanoTime(),
              mgmtPort == 0 ? "" : "\"mgmt\":\"127.0.0.1:" + mgmtPort + "\",",
              memoryMb,
              sockets,
              known,
              nodes,
              number,
              services);
    }
  }

  final Process process;
  final int port;

  private Node(Process process, int port) {
    this.process = process;
    this.port = port;
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** Returns the command of the deploy file in the given folder. */
  private static String runCommand(Path root) throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring(7, line.lastIndexOf('"')).replace("\\\"", "\"");
      }
    }
    throw new IOException("no run command");
  }

  /** Starts a node and waits until it answers {@code mn}. */
  static Node start(Path root, Setup setup) throws IOException {
    Node node = launch(root, setup);
    node.awaitReady(30_000);
    return node;
  }

  static Node launch(Path root, Setup setup) throws IOException {
    if (setup.port == 0) {
      setup.port = freePort();
    }
    Path config = setup.temporary.resolve("config-" + setup.name + ".json");
    Files.writeString(config, setup.text());
    Path folder = Files.createDirectories(setup.temporary.resolve("tmp-" + setup.name));
    String limit = setup.limitDescriptors ? "ulimit -n " + setup.sockets + " && " : "";
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", limit + runCommand(root));
    builder.directory(root.toFile());
    builder.environment().putAll(
        Map.of(
            "ROUTER_NAME", setup.name,
            "ROUTER_LISTEN", "127.0.0.1:" + setup.port,
            "ROUTER_DISCOVERY", "127.0.0.1:" + setup.discoveryPort,
            "ROUTER_CONFIG", config.toString(),
            "TMPDIR", folder.toString()));
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(setup.temporary.resolve(setup.name + ".log").toFile()));
    Node node = new Node(builder.start(), setup.port);
    synchronized (started) {
      started.add(node);
    }
    return node;
  }

  void awaitReady(long millis) throws IOException {
    long until = System.nanoTime() + millis * 1_000_000L;
    while (System.nanoTime() < until) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 500);
        socket.setSoTimeout(1000);
        socket.getOutputStream().write(Command.bytes("mn\r\n"));
        if ("MN".equals(Command.readLine(socket.getInputStream()))) {
          return;
        }
      } catch (IOException e) {
        // Not yet.
      }
      Threads.sleep(50);
    }
    throw new IOException("the node is not ready");
  }

  /** Returns how long a new client waits for the answer to mn; -1 if it takes over 10 s. */
  long millisToAnswer() {
    long start = System.nanoTime();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 10_000);
      socket.setSoTimeout(10_000);
      socket.getOutputStream().write(Command.bytes("mn\r\n"));
      if ("MN".equals(Command.readLine(socket.getInputStream()))) {
        return (System.nanoTime() - start) / 1_000_000;
      }
    } catch (IOException e) {
      // Not in time.
    }
    return -1;
  }

  void signal(String name) throws IOException {
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static void endAll() {
    synchronized (started) {
      started.forEach(Node::close);
    }
  }
}
