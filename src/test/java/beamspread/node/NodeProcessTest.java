package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.sim.Message;
import beamspread.sim.WireException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A node in a separate process, under signals. */
class NodeProcessTest {
  @TempDir Path folder;
  private ServeProcess node;
  private Path config;
  private InetSocketAddress listen;

  @BeforeEach
  void nameFiles() {
    node = new ServeProcess(folder, "node");
    config = node.config;
  }

  private void configure(Peers.Server discovery, Peers.Server server) throws IOException {
    node.configure("127.0.0.1:0", "", discovery, server);
  }

  private Process start() throws IOException, InterruptedException {
    return awaitListening(node.launch());
  }

  private Process awaitListening(Process process) throws InterruptedException {
    Peers.await("the node listens", () -> answersNoOp(process));
    return process;
  }

  private Message status() throws IOException, WireException {
    return node.status();
  }

  private boolean status(Predicate<Message> holds) {
    try {
      return holds.test(status());
    } catch (IOException | WireException e) {
      throw new AssertionError(e);
    }
  }

  private boolean answersNoOp(Process process) {
    assertTrue(process.isAlive(), "the node has exited");
    try {
      String[] at = status().requiredText("listen").split(":");
      listen = new InetSocketAddress(at[0], Integer.parseInt(at[1]));
    } catch (IOException | WireException e) {
      return false;
    }
    try (Peers.Client client = new Peers.Client(listen)) {
      return "MN".equals(client.send("mn\r\n").readLine());
    } catch (IOException e) {
      return false;
    }
  }

  private static Process signal(Process process, String name) throws IOException {
    return new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
  }

  private boolean logged(String text) {
    return node.logged(text);
  }

  /** Returns whether the log reports a stall of at least this many milliseconds. */
  private boolean loggedStallOf(long millis) {
    try {
      return Files.readAllLines(node.log).stream()
          .filter(line -> line.contains("the event loop stood still for "))
          .map(line -> line.replaceAll(".*stood still for (\\d+) ms.*", "$1"))
          .anyMatch(found -> Long.parseLong(found) >= millis);
    } catch (IOException e) {
      return false;
    }
  }

  private static boolean watched(Peers.Server discovery, String querySuffix) {
    return discovery.lines.stream().anyMatch(line -> line.contains("follow=1" + querySuffix + " "));
  }

  @Test
  void reloadSwitchesDiscoveryAndKeepsServing() throws Exception {
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Server other = new Peers.Server(Peers::successReply);
        Peers.Server old = Peers.discovery(41, server);
        Peers.Server moved = Peers.discovery(7, other)) {
      configure(old, server);
      Process process = start();
      try (Peers.Client client = new Peers.Client(listen)) {
        Peers.await("the old discovery is watched", () -> watched(old, "&since=40"));
        configure(moved, server);
        signal(process, "HUP");
        Peers.await("the new discovery is watched", () -> watched(moved, ""));
        Peers.await("the old one is disconnected", () -> old.connections.isEmpty());
        Message status = status();
        assertEquals(2, status.number("generation", 0));
        assertEquals(2, status.number("readings", 0));
        assertNull(status.text("refusal", null));
        assertFalse(status.flag("needs_restart"));
        String settled = Files.readString(config);
        Files.writeString(config, settled.replace("\"slo\":1", "\"slo\":0.5"));
        signal(process, "HUP");
        Peers.await(
            "new aims take effect only after a restart",
            () -> status(s -> s.number("generation", 0) == 3 && s.flag("needs_restart")));
        assertNotEquals(status.text("digest", ""), status().text("digest", ""));
        // Its list applies although its version is lower.
        Peers.await(
            "the new list is used",
            () -> {
              try {
                String id = Long.toString(System.nanoTime());
                assertEquals("VA 5 O" + id, client.read(id).readLine());
                assertEquals("hello", client.readLine());
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
  void reloadsChangedFileWhenSighupIsIgnored() throws Exception {
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Server old = Peers.discovery(41, server);
        Peers.Server moved = Peers.discovery(7, server)) {
      configure(old, server);
      Process process = awaitListening(node.launchIgnoringSighup());
      try {
        Peers.await("the old discovery is watched", () -> watched(old, "&since=40"));
        configure(moved, server);
        signal(process, "HUP");
        Peers.await("the new discovery is watched", () -> watched(moved, ""));
        assertEquals(2, status().number("readings", 0));
        assertTrue(logged("SIGHUP is ignored here"));
      } finally {
        process.destroyForcibly().waitFor();
      }
    }
  }

  @Test
  void startFailsNamingMissingSettings() throws Exception {
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Server discovery = Peers.discovery(41, server)) {
      configure(discovery, server);
      String validConfig = Files.readString(config);
      Files.writeString(
          config,
          validConfig
              .replace("\"contract\"", "\"compact\"")
              .replace("\"give-up\":2", "\"give-up\":0"));
      Process process = node.launch();
      assertTrue(process.waitFor(20, TimeUnit.SECONDS));
      assertEquals(2, process.exitValue());
      String logText = Files.readString(node.log);
      for (String fault :
          List.of(
              "contract.ask-within is missing",
              "contract.overload-for is missing",
              "services[0].give-up must be above 0")) {
        assertTrue(logText.contains(fault), logText);
      }
      assertTrue(discovery.lines.isEmpty());
    }
  }

  @Test
  void replacesStaleStatusSocketButNotOneInUse() throws Exception {
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Server discovery = Peers.discovery(41, server)) {
      configure(discovery, server);
      start().destroyForcibly().waitFor();
      assertTrue(Files.exists(folder.resolve("node.sock")));
      Process second = start();
      try {
        Process third = node.launch();
        assertTrue(third.waitFor(20, TimeUnit.SECONDS));
        assertEquals(1, third.exitValue());
        assertTrue(logged("another process listens there"));
        assertEquals(second.pid(), (long) status().number("pid", 0));
      } finally {
        second.destroyForcibly().waitFor();
      }
    }
  }

  @Test
  void invalidConfigurationChangesNothing() throws Exception {
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Server discovery = Peers.discovery(41, server)) {
      configure(discovery, server);
      Process process = start();
      try (Peers.Client client = new Peers.Client(listen)) {
        Peers.await("discovery is watched", () -> watched(discovery, "&since=40"));
        String validConfig = Files.readString(config);
        Files.writeString(config, validConfig.substring(0, validConfig.length() / 2));
        signal(process, "HUP");
        Peers.await("the refusal is logged", () -> logged("the old configuration stays"));
        Peers.await(
            "the status counts the reading", () -> status(s -> s.number("readings", 0) == 2));
        assertEquals(1, status().number("generation", 0));
        assertEquals(config + ": not JSON", status().text("refusal", ""));
        Files.writeString(config, validConfig.replace("\"drain-grace\":2,", ""));
        signal(process, "HUP");
        Peers.await("the next file is refused", () -> status(s -> s.number("readings", 0) == 3));
        assertEquals(
            config + ": settings: contract.drain-grace is missing", status().text("refusal", ""));
        assertNotEquals(status().text("digest", ""), status().text("tried_digest", ""));
        assertEquals("VA 5 O1", client.read("1").readLine());
        assertEquals(1, discovery.connections.size());
        assertTrue(process.isAlive());
      } finally {
        process.destroyForcibly().waitFor();
      }
    }
  }

  /**
   * After a stall, attempts are abandoned earlier, so that a second stall of the same length finds
   * no open request that is due soon.
   */
  @Test
  void abandonsRequestsEarlierAfterStall() throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Server discovery = Peers.discovery(41, server)) {
      configure(discovery, server);
      Process process = start();
      try (Peers.Client client = new Peers.Client(listen)) {
        stopFor(process, 800);
        // A start has shorter stalls of its own. What is sent before this stall is logged may count
        // as old as the stall.
        Peers.await("the stall is logged", () -> loggedStallOf(700));
        long sent = System.nanoTime();
        client.send("mg a v O1 Pc=read,d=2000\r\n");
        String answer = client.readLine();
        long millis = (System.nanoTime() - sent) / 1_000_000;
        assertTrue(answer.startsWith("SERVER_ERROR"), answer);
        assertTrue(millis < 1_900, "abandoned after " + millis + " of 2000 ms");
        assertTrue(millis >= 1_490, "not earlier than a quarter of the wait: " + millis);
      } finally {
        process.destroyForcibly().waitFor();
      }
    }
  }

  private static void stopFor(Process process, long millis) throws Exception {
    signal(process, "STOP").waitFor();
    Thread.sleep(millis);
    signal(process, "CONT").waitFor();
  }

  @Test
  void aPlannedRestartAnswersWhatWasTaken() throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Server discovery = Peers.discovery(41, server)) {
      configure(discovery, server);
      Process process = start();
      try (Peers.Client client = new Peers.Client(listen);
          Peers.Client idle = new Peers.Client(listen)) {
        assertEquals("MN", idle.send("mn\r\n").readLine());
        client.send("mg a v O1 Pc=read,d=2000\r\n");
        try {
          Peers.await("the request is sent", () -> server.lines.size() == 1);
        } catch (AssertionError e) {
          throw new AssertionError(
              "sent: " + server.lines + ", the node: " + Files.readString(node.log), e);
        }
        Message status = status();
        assertEquals(1, status.number("open_requests", 0));
        assertEquals(2, status.number("client_connections", 0));
        assertEquals(1, status.number("server_connections", 0));
        assertEquals(1, status.nested("servers").number("active", 0));
        assertFalse(status.flag("draining"));
        signal(process, "TERM");
        try (Peers.Client late = new Peers.Client(listen)) {
          late.send("mg b v O2 Pc=read,d=2000\r\n");
          Peers.await("the late request is sent", () -> server.lines.size() == 2);
          Peers.await("the status reports draining", () -> status(s -> s.flag("draining")));
          assertEquals(2, status().number("open_requests", 0));
          assertNull(idle.readLine());
          server.script = Peers::successReply;
          for (var socket : server.connections) {
            for (String line : server.lines) {
              socket.getOutputStream().write(Peers.successReply(line).getBytes());
            }
          }
          String first = client.readLine();
          String second = late.readLine();
          assertFalse(first == null || second == null, first + ", " + second);
          client.readLine();
          assertNull(client.readLine());
        }
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertFalse(Files.exists(folder.resolve("node.sock")));
      } finally {
        process.destroyForcibly().waitFor();
      }
    }
  }
}
