package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.sim.WireException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A process that receives SIGTERM with requests in every state. Checked from outside: each request
 * that was sent completely before the signal has exactly one final answer, in time.
 */
class StopUnderLoadTest {
  /**
   * The longest deadline of the settings plus the time after it until the platform kills a node.
   */
  private static final long MAX_STOP_MILLIS = 3_000 + 700;

  @TempDir Path folder;
  private final CountDownLatch answersAllowed = new CountDownLatch(1);

  /** The clients, each with the ids of its expected answers in order. */
  private final Map<Peers.Client, List<String>> expectedIds = new LinkedHashMap<>();

  private int lastId;

  private String read(Peers.Client client, String key) {
    String id = "r" + ++lastId;
    expectedIds.computeIfAbsent(client, c -> new ArrayList<>()).add(id);
    return "mg " + key + " v O" + id + " Pc=read,d=2900\r\n";
  }

  private String write(Peers.Client client, String key) {
    String id = "w" + ++lastId;
    expectedIds.computeIfAbsent(client, c -> new ArrayList<>()).add(id);
    return "ms " + key + " 5 O" + id + " Pc=put,d=2900\r\nworld\r\n";
  }

  /** Answers once the test allows it, so that requests are open when SIGTERM arrives. */
  private String answerWhenAllowed(String line) {
    try {
      answersAllowed.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return Peers.successReply(line);
  }

  private InetSocketAddress awaitAddress(ServeProcess node, Process process) throws Exception {
    InetSocketAddress[] found = new InetSocketAddress[1];
    Peers.await(
        "the node answers",
        () -> {
          assertTrue(process.isAlive(), "the node has exited");
          try {
            String[] at = node.status().requiredText("listen").split(":");
            found[0] = new InetSocketAddress(at[0], Integer.parseInt(at[1]));
            try (Peers.Client client = new Peers.Client(found[0])) {
              return "MN".equals(client.send("mn\r\n").readLine());
            }
          } catch (IOException | WireException e) {
            return false;
          }
        });
    return found[0];
  }

  /**
   * Reads the expected answers of each client, and checks that nothing follows; returns how many
   * requests were served.
   */
  private int checkAllAnswers() throws IOException {
    int served = 0;
    for (Map.Entry<Peers.Client, List<String>> entry : expectedIds.entrySet()) {
      for (String id : entry.getValue()) {
        String line = entry.getKey().readLine();
        assertNotNull(line, id + " has no answer");
        if (line.startsWith("VA ")) {
          assertEquals("VA 5 O" + id, line);
          assertEquals("hello", entry.getKey().readLine());
          served++;
        } else if (line.startsWith("HD ")) {
          assertEquals("HD O" + id + " c77", line);
          served++;
        } else {
          assertTrue(line.startsWith("SERVER_ERROR "), line);
        }
      }
      assertNull(entry.getKey().readLine(), "more than one answer each");
      entry.getKey().close();
    }
    return served;
  }

  private void stopWithOpenRequests(int hanging) throws Exception {
    List<Peers.Server> servers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      Function<String, String> script = i < hanging ? line -> null : this::answerWhenAllowed;
      servers.add(new Peers.Server(script));
    }
    ServeProcess node = new ServeProcess(folder, "node");
    try (Peers.Server discovery = Peers.discovery(41, servers.toArray(new Peers.Server[0]))) {
      node.configure("127.0.0.1:0", "", discovery, servers.toArray(new Peers.Server[0]));
      Files.writeString(
          node.config,
          Files.readString(node.config)
              .replace("\"sockets\":256", "\"sockets\":1024")
              .replace("\"give-up\":2", "\"give-up\":3"));
      Process process = node.launch();
      try {
        InetSocketAddress address = awaitAddress(node, process);
        List<Peers.Client> incomplete = new ArrayList<>();
        // In flight, or waiting for an identical request in flight: eight for each of five keys.
        for (int i = 0; i < 40; i++) {
          Peers.Client client = new Peers.Client(address);
          client.send(read(client, "same-" + i % 5));
        }
        for (int i = 0; i < 50; i++) {
          Peers.Client client = new Peers.Client(address);
          client.send(i % 2 == 0 ? read(client, "one-" + i) : write(client, "one-" + i));
        }
        // Several on one connection, sent at once.
        for (int i = 0; i < 20; i++) {
          Peers.Client client = new Peers.Client(address);
          client.send(read(client, "a-" + i) + write(client, "b-" + i) + read(client, "c-" + i));
        }
        // Incomplete commands: the rest is sent after SIGTERM.
        for (int i = 0; i < 20; i++) {
          Peers.Client client = new Peers.Client(address);
          String command = write(client, "half-" + i);
          client.send(command.substring(0, 12 + i));
          incomplete.add(client);
          expectedIds.get(client).add(command.substring(12 + i));
        }
        long open = 40 + 50 + 60;
        Peers.await("all requests are received", () -> openRequests(node) >= open);
        long signalledAt = System.nanoTime();
        ServeProcess.terminate(process);
        for (Peers.Client client : incomplete) {
          client.send(expectedIds.get(client).remove(1));
        }
        // New connections keep arriving for a while.
        for (int i = 0; i < 30; i++) {
          Peers.Client client = new Peers.Client(address);
          client.send(read(client, "new-" + i));
        }
        answersAllowed.countDown();
        int served = checkAllAnswers();
        assertEquals(200, lastId);
        assertTrue(served > (hanging == 0 ? 150 : 50), served + " served");
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        long millis = (System.nanoTime() - signalledAt) / 1_000_000;
        assertTrue(millis < MAX_STOP_MILLIS + 5_000, "ended after " + millis + " ms");
      } finally {
        process.destroyForcibly().waitFor();
      }
    } finally {
      for (Peers.Server server : servers) {
        server.close();
      }
    }
  }

  private static long openRequests(ServeProcess node) {
    try {
      return (long) node.status().number("open_requests", 0);
    } catch (IOException | WireException e) {
      return -1;
    }
  }

  @Test
  void answersRequestsInEveryState() throws Exception {
    stopWithOpenRequests(0);
  }

  @Test
  void answersWithQuarterOfServersHanging() throws Exception {
    stopWithOpenRequests(2);
  }

  @Test
  void stopsTenTimesInARow() throws Exception {
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Server hangs = new Peers.Server(line -> null);
        Peers.Server discovery = Peers.discovery(41, server, hangs)) {
      ServeProcess node = new ServeProcess(folder, "node");
      String listen = "127.0.0.1:0";
      for (int i = 0; i < 10; i++) {
        node.configure(listen, "", discovery, server, hangs);
        Process process = node.launch();
        try {
          InetSocketAddress address = awaitAddress(node, process);
          listen = "127.0.0.1:" + address.getPort();
          expectedIds.clear();
          for (int j = 0; j < 10; j++) {
            Peers.Client client = new Peers.Client(address);
            client.send(read(client, "k-" + i + "-" + j).replace("d=2900", "d=400"));
          }
          ServeProcess.terminate(process);
          for (int j = 0; j < 10; j++) {
            Peers.Client client = new Peers.Client(address);
            client.send(read(client, "k-" + i + "-" + j).replace("d=2900", "d=400"));
          }
          checkAllAnswers();
          assertTrue(process.waitFor(20, TimeUnit.SECONDS));
          assertEquals(143, process.exitValue(), "exited normally on the signal");
        } finally {
          process.destroyForcibly().waitFor();
        }
      }
    }
  }

  @Test
  void secondSignalHasNoEffect() throws Exception {
    try (Peers.Server server = new Peers.Server(this::answerWhenAllowed);
        Peers.Server discovery = Peers.discovery(41, server)) {
      ServeProcess node = new ServeProcess(folder, "node");
      node.configure("127.0.0.1:0", "", discovery, server);
      Process process = node.launch();
      try {
        InetSocketAddress address = awaitAddress(node, process);
        Peers.Client client = new Peers.Client(address);
        client.send(read(client, "key"));
        Peers.await("the request is sent", () -> server.lines.size() == 1);
        ServeProcess.terminate(process);
        Peers.await("the node drains", () -> isDraining(node));
        ServeProcess.terminate(process);
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
        Peers.Client late = new Peers.Client(address);
        late.send(read(late, "late"));
        answersAllowed.countDown();
        assertEquals(2, checkAllAnswers(), "both are served");
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(143, process.exitValue());
      } finally {
        process.destroyForcibly().waitFor();
      }
    }
  }

  private static boolean isDraining(ServeProcess node) {
    try {
      return node.status().flag("draining");
    } catch (IOException | WireException e) {
      return false;
    }
  }
}
