package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.sim.WireException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Idle clients use up all available descriptors while discovery is unreachable. */
class DescriptorExhaustionTest {
  /** The limit in the node's configuration; more connections than that arrive. */
  private static final int DESCRIPTORS = 256;

  private static final int IDLE_CLIENTS = 400;

  /** How long discovery is unreachable: long enough for some calls of the node to fail. */
  private static final long OUTAGE_NANOS = 4_000_000_000L;

  /**
   * Time after discovery is reachable again within which the node must have received the change.
   */
  private static final long MAX_UPDATE_MILLIS = 6_000;

  @TempDir Path folder;

  private final List<Peers.Client> idle = new ArrayList<>();

  private void openIdleClients(InetSocketAddress node) throws IOException {
    for (int i = 0; i < IDLE_CLIENTS; i++) {
      Peers.Client client = new Peers.Client(node);
      idle.add(client);
      if (i % 2 == 0) {
        client.read("idle" + i);
      }
    }
  }

  private static void assertServed(InetSocketAddress node, String id) throws IOException {
    try (Peers.Client client = new Peers.Client(node)) {
      assertEquals("VA 5 O" + id, client.read(id).readLine());
    }
  }

  @Test
  void servesAndReceivesChangesWhileFullOfIdleClients() throws Exception {
    ServeProcess serveProcess = new ServeProcess(folder, "full");
    Process[] process = new Process[1];
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server discovery = Peers.discovery(41, first)) {
      serveProcess.configure("127.0.0.1:0", "\"mgmt\":\"127.0.0.1:0\",", discovery, first);
      process[0] = serveProcess.launchWithDescriptorLimit(DESCRIPTORS);
      Peers.await("the node has called discovery", () -> !discovery.lines.isEmpty());
      // The status socket is opened once the node serves, which may be after its first discovery
      // call.
      Peers.await("the status socket is open", () -> hasStatus(serveProcess));
      InetSocketAddress node = address(serveProcess, "listen");
      openIdleClients(node);
      assertServed(node, "before");

      discovery.stopListening();
      discovery.closeConnections();
      Peers.await("the watch has ended", () -> serveProcess.logged("discovery: "));
      openIdleClients(node);
      int asked = 0;
      long maxDescriptors = 0;
      for (long until = System.nanoTime() + OUTAGE_NANOS; System.nanoTime() - until < 0; ) {
        assertServed(node, "away" + asked++);
        try (var open = Files.list(Path.of("/proc/" + process[0].pid() + "/fd"))) {
          maxDescriptors = Math.max(maxDescriptors, open.count());
        }
      }
      assertEquals(
          200, new ManagementClient(address(serveProcess, "mgmt")).get("/_ready").status());

      Peers.Server[] listed = {second};
      String list = Peers.WATCH_RESPONSE_HEAD + Peers.chunk(Peers.listJson(42, listed) + "\n");
      discovery.script = line -> line.startsWith("GET ") ? list : null;
      long restoredAt = System.nanoTime();
      discovery.resumeListening();
      int before = second.lines.size();
      Peers.await(
          "the new server receives requests",
          () -> {
            try {
              assertServed(node, "back" + System.nanoTime());
              return second.lines.size() > before;
            } catch (IOException e) {
              throw new AssertionError(e);
            }
          });
      long millis = (System.nanoTime() - restoredAt) / 1_000_000;
      assertTrue(millis < MAX_UPDATE_MILLIS, "updated after " + millis + " ms");
      assertTrue(
          maxDescriptors > DESCRIPTORS / 2, "descriptors were not used up: " + maxDescriptors);
      assertFalse(serveProcess.logged("Too many open files"));
    } finally {
      for (Peers.Client client : idle) {
        client.close();
      }
      if (process[0] != null) {
        process[0].destroyForcibly().waitFor();
      }
    }
  }

  private static boolean hasStatus(ServeProcess serveProcess) {
    try {
      serveProcess.status();
      return true;
    } catch (IOException | WireException e) {
      return false;
    }
  }

  private static InetSocketAddress address(ServeProcess serveProcess, String name)
      throws Exception {
    String[] at = serveProcess.status().requiredText(name).split(":");
    return new InetSocketAddress(at[0], Integer.parseInt(at[1]));
  }
}
