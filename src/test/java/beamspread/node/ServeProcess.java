package beamspread.node;

import beamspread.sim.Message;
import beamspread.sim.WireException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A node in a separate process: its configuration, start, status and log. */
final class ServeProcess {
  final Path config;
  final Path log;
  private final Path folder;
  private final Path status;
  private boolean parallelAttempts = true;
  private int memoryMb = 64;
  private int sockets = 256;

  /** Uses files of this name in the folder of a test. */
  ServeProcess(Path folder, String name) {
    this.folder = folder;
    config = folder.resolve(name + ".json");
    log = folder.resolve(name + ".log");
    status = folder.resolve(name + ".sock");
  }

  /** Says whether several attempts of a request may be in flight; by default they may. */
  void parallelAttempts(boolean allowed) {
    parallelAttempts = allowed;
  }

  /** Sets the limits on its memory and its file descriptors. */
  void limits(int newMemoryMb, int newSockets) {
    memoryMb = newMemoryMb;
    sockets = newSockets;
  }

  /**
   * Writes its configuration.
   *
   * @param extraFields further fields, each followed by a comma
   */
  void configure(String listen, String extraFields, Peers.Server discovery, Peers.Server... servers)
      throws IOException {
    configure(listen, extraFields, discovery.address(), 1, servers);
  }

  /**
   * Writes its configuration with a discovery at this address, in a fleet of the given number of
   * nodes.
   */
  void configure(
      String listen,
      String extraFields,
      InetSocketAddress discovery,
      int instances,
      Peers.Server... servers)
      throws IOException {
    configure(listen, extraFields, discovery, instances, Peers.listJson(40, servers));
  }

  /** Writes its configuration with this list of cache servers, as discovery formats it. */
  void configure(
      String listen, String extraFields, InetSocketAddress discovery, int instances, String list)
      throws IOException {
    Files.writeString(
        config,
        """
        {"name":"n0","listen":"%s","discovery":"127.0.0.1:%d","seed":"1f",
         "status_socket":"%s",%s
         "limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":%s,
         "settings":{"zone":"a","azs":["a"],"kinds":["box"],"instances":%d,"discovery":"ask",
          "caps":{"attempts-cap":6,"cancel":true,"connect-timeout":1,"conn-idle":60,"multiplex":32,
           "parallel-tries":%s},
          "contract":{"ask-within":10,"drain-grace":2,"warm-within":10,"cold-from":0.5,
           "overload-factor":3,"overload-for":2},
          "services":[{"name":"read","slo":1,"give-up":2,"effect":"retryable"},
           {"name":"put","slo":1,"give-up":2,"effect":"fragile"},
           {"name":"keyed","slo":1,"give-up":2,"effect":"dedup","group":"zone","repeat-window":1}]}}
        """
            .formatted(
                listen,
                discovery.getPort(),
                status,
                extraFields,
                memoryMb,
                sockets,
                list,
                instances,
                parallelAttempts));
  }

  Process launch() throws IOException {
    return launch(List.of(), List.of());
  }

  /** Starts it with these options for the JVM. */
  Process launch(List<String> jvmOptions) throws IOException {
    return launch(List.of(), jvmOptions);
  }

  /** Starts it with this limit on file descriptors. */
  Process launchWithDescriptorLimit(int descriptors) throws IOException {
    List<String> limited =
        List.of("sh", "-c", "ulimit -n " + descriptors + " && exec \"$@\"", "sh");
    return launch(limited, List.of());
  }

  /** Starts it so that it inherits that SIGHUP is ignored, as under nohup. */
  Process launchIgnoringSighup() throws IOException {
    return launch(List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"), List.of());
  }

  private Process launch(List<String> prefix, List<String> jvmOptions) throws IOException {
    List<String> command = new ArrayList<>(prefix);
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(jvmOptions);
    command.addAll(
        List.of("-cp", System.getProperty("java.class.path"), "beamspread.Main", "serve"));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("ROUTER_CONFIG", config.toString());
    builder.environment().put("TMPDIR", folder.toString());
    return builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
  }

  Message status() throws IOException, WireException {
    try (SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX)) {
      channel.connect(UnixDomainSocketAddress.of(status));
      return Message.parse(
          new String(Channels.newInputStream(channel).readAllBytes(), StandardCharsets.UTF_8));
    }
  }

  /** Returns the address for clients from the status; null while there is no status. */
  InetSocketAddress listenAddress() {
    try {
      String[] at = status().requiredText("listen").split(":");
      return new InetSocketAddress(at[0], Integer.parseInt(at[1]));
    } catch (IOException | WireException e) {
      return null;
    }
  }

  /** Sends it SIGTERM. */
  static void terminate(Process process) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-TERM", Long.toString(process.pid())).start().waitFor();
  }

  boolean logged(String text) {
    try {
      return Files.readString(log).contains(text);
    } catch (IOException e) {
      return false;
    }
  }
}
