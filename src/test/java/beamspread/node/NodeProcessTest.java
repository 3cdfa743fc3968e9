package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A node as its own process, under signals. */
class NodeProcessTest {
  @TempDir Path folder;
  private Path config;
  private Path log;
  private InetSocketAddress listen;

  @BeforeEach
  void findAPort() throws IOException {
    config = folder.resolve("config.json");
    log = folder.resolve("log");
    try (ServerSocket free = new ServerSocket(0)) {
      listen = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
  }

  private void configure(Peers.Server discovery, Peers.Server server) throws IOException {
    Files.writeString(
        config,
        """
        {"name":"n0","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"1f",
         "limits":{"cores":1,"memory_mb":64,"sockets":256},"known":%s,
         "settings":{"zone":"a","azs":["a"],"kinds":["box"],"instances":1,"discovery":"ask",
          "caps":{"attempts-cap":6,"cancel":true,"connect-timeout":1,"conn-idle":60,"multiplex":32,
           "parallel-tries":true},
          "contract":{"ask-within":10,"drain-grace":2,"warm-within":10,"cold-from":0.5},
          "services":[{"name":"read","slo":1,"give-up":2,"effect":"retryable"},
           {"name":"put","slo":1,"give-up":2,"effect":"fragile"}]}}
        """
            .formatted(listen.getPort(), discovery.address().getPort(), Peers.list(40, server)));
  }

  private Process start() throws IOException, InterruptedException {
    ProcessBuilder builder =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "beamspread.Main",
            "serve");
    builder.environment().put("ROUTER_CONFIG", config.toString());
    Process process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    Peers.await("the node listens", () -> hello(process));
    return process;
  }

  private boolean hello(Process process) {
    assertTrue(process.isAlive(), "the node has ended");
    try (Peers.Client client = new Peers.Client(listen)) {
      return "MN".equals(client.send("mn\r\n").line());
    } catch (IOException e) {
      return false;
    }
  }

  private static void signal(Process process, String name) throws IOException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
  }

  private boolean logged(String text) {
    try {
      return Files.readString(log).contains(text);
    } catch (IOException e) {
      return false;
    }
  }

  private static boolean watched(Peers.Server discovery, String end) {
    return discovery.lines.stream().anyMatch(line -> line.contains("follow=1" + end + " "));
  }

  @Test
  void aReloadMovesToTheNewDiscoveryAndServesOn() throws Exception {
    try (Peers.Server server = new Peers.Server(Peers::good);
        Peers.Server other = new Peers.Server(Peers::good);
        Peers.Server old = Peers.discovery(41, server);
        Peers.Server moved = Peers.discovery(7, other)) {
      configure(old, server);
      Process process = start();
      try (Peers.Client client = new Peers.Client(listen)) {
        Peers.await("the old discovery is watched", () -> watched(old, "&since=40"));
        configure(moved, server);
        signal(process, "HUP");
        Peers.await("the new discovery is watched", () -> watched(moved, ""));
        Peers.await("the old one is left", () -> old.connections.isEmpty());
        // Its list counts although its version is lower.
        Peers.await(
            "the new list is followed",
            () -> {
              try {
                String id = Long.toString(System.nanoTime());
                assertEquals("VA 5 O" + id, client.read(id).line());
                assertEquals("hello", client.line());
                return !other.lines.isEmpty();
              } catch (IOException e) {
                throw new AssertionError(e);
              }
            });
        assertTrue(process.isAlive());
      } finally {
        process.destroyForcibly().waitFor();
      }
    }
  }

  @Test
  void aBadFileChangesNothing() throws Exception {
    try (Peers.Server server = new Peers.Server(Peers::good);
        Peers.Server discovery = Peers.discovery(41, server)) {
      configure(discovery, server);
      Process process = start();
      try (Peers.Client client = new Peers.Client(listen)) {
        Peers.await("discovery is watched", () -> watched(discovery, "&since=40"));
        String whole = Files.readString(config);
        Files.writeString(config, whole.substring(0, whole.length() / 2));
        signal(process, "HUP");
        Peers.await("the log tells", () -> logged("the old configuration stays"));
        assertEquals("VA 5 O1", client.read("1").line());
        assertEquals(1, discovery.connections.size());
        assertTrue(process.isAlive());
      } finally {
        process.destroyForcibly().waitFor();
      }
    }
  }

  @Test
  void aPlannedRestartAnswersWhatWasTaken() throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Server discovery = Peers.discovery(41, server)) {
      configure(discovery, server);
      Process process = start();
      try (Peers.Client client = new Peers.Client(listen);
          Peers.Client idle = new Peers.Client(listen)) {
        assertEquals("MN", idle.send("mn\r\n").line());
        client.send("mg a v O1 Pc=read,d=2000\r\n");
        Peers.await("it goes out", () -> server.lines.size() == 1);
        signal(process, "TERM");
        try (Peers.Client late = new Peers.Client(listen)) {
          late.send("mg b v O2 Pc=read,d=2000\r\n");
          Peers.await("the late one goes out", () -> server.lines.size() == 2);
          assertNull(idle.line());
          server.script = Peers::good;
          for (var socket : server.connections) {
            for (String line : server.lines) {
              socket.getOutputStream().write(Peers.good(line).getBytes());
            }
          }
          String first = client.line();
          String second = late.line();
          assertFalse(first == null || second == null, first + ", " + second);
          client.line();
          assertNull(client.line());
        }
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
      } finally {
        process.destroyForcibly().waitFor();
      }
    }
  }
}
