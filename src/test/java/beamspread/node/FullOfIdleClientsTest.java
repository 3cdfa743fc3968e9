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
class FullOfIdleClientsTest {
  /** The limit in the node's configuration; more connections than that arrive. */
  private static final int DESCRIPTORS = 256;

  private static final int IDLE = 400;

  /** How long discovery is unreachable: long enough for some calls of the node to fail. */
  private static final long AWAY_NANOS = 4_000_000_000L;

  /**
   * Time after discovery is reachable again within which the node must have received the change.
   */
  private static final long TOLD_MILLIS = 6_000;

  @TempDir Path folder;

  private final List<Peers.Client> idle = new ArrayList<>();

  private void fill(InetSocketAddress node) throws IOException {
    for (int i = 0; i < IDLE; i++) {
      Peers.Client client = new Peers.Client(node);
      idle.add(client);
      if (i % 2 == 0) {
        client.read("idle" + i);
      }
    }
  }

  private static void served(InetSocketAddress node, String id) throws IOException {
    try (Peers.Client client = new Peers.Client(node)) {
      assertEquals("VA 5 O" + id, client.read(id).line());
    }
  }

  @Test
  void theNodeServesIsReachedAndLearnsWhatChanged() throws Exception {
    ServeProcess files = new ServeProcess(folder, "full");
    Process[] process = new Process[1];
    try (Peers.Server first = new Peers.Server(Peers::good);
        Peers.Server second = new Peers.Server(Peers::good);
        Peers.Server discovery = Peers.discovery(41, first)) {
      files.configure("127.0.0.1:0", "\"mgmt\":\"127.0.0.1:0\",", discovery, first);
      process[0] = files.launchWithin(DESCRIPTORS);
      Peers.await("the node has called discovery", () -> !discovery.lines.isEmpty());
      // The status socket is opened once the node serves, which may be after its first discovery
      // call.
      Peers.await("the status socket is open", () -> tellsStatus(files));
      InetSocketAddress node = address(files, "listen");
      fill(node);
      served(node, "before");

      discovery.refuse();
      discovery.breakConnections();
      Peers.await("the watch has ended", () -> files.logged("discovery: "));
      fill(node);
      int asked = 0;
      long most = 0;
      for (long until = System.nanoTime() + AWAY_NANOS; System.nanoTime() - until < 0; ) {
        served(node, "away" + asked++);
        try (var open = Files.list(Path.of("/proc/" + process[0].pid() + "/fd"))) {
          most = Math.max(most, open.count());
        }
      }
      assertEquals(200, new Calls(address(files, "mgmt")).get("/_ready").status());

      Peers.Server[] now = {second};
      String list = Peers.WATCH + Peers.chunk(Peers.list(42, now) + "\n");
      discovery.script = line -> line.startsWith("GET ") ? list : null;
      long back = System.nanoTime();
      discovery.listenAgain();
      int before = second.lines.size();
      Peers.await(
          "the new server receives requests",
          () -> {
            try {
              served(node, "back" + System.nanoTime());
              return second.lines.size() > before;
            } catch (IOException e) {
              throw new AssertionError(e);
            }
          });
      long millis = (System.nanoTime() - back) / 1_000_000;
      assertTrue(millis < TOLD_MILLIS, "updated after " + millis + " ms");
      assertTrue(most > DESCRIPTORS / 2, "descriptors were not used up: " + most);
      assertFalse(files.logged("Too many open files"));
    } finally {
      for (Peers.Client client : idle) {
        client.close();
      }
      if (process[0] != null) {
        process[0].destroyForcibly().waitFor();
      }
    }
  }

  private static boolean tellsStatus(ServeProcess files) {
    try {
      files.status();
      return true;
    } catch (IOException | WireException e) {
      return false;
    }
  }

  private static InetSocketAddress address(ServeProcess files, String name) throws Exception {
    String[] at = files.status().requiredText(name).split(":");
    return new InetSocketAddress(at[0], Integer.parseInt(at[1]));
  }
}
