package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a node that runs out of descriptors while more clients than it may have stop
 * within a command, and whose event loop then ends for good (incident 0003).
 */
class HalfSentCommandsTest {
  /** The limit in the node's configuration, and of its process. */
  private static final int DESCRIPTORS = 256;

  private static final int WAVES = 2;
  private static final int CLIENTS_PER_WAVE = 500;

  /** Time within which a new client has to get in while the crowd stays. */
  private static final long MAX_WAIT_MILLIS = 3_000;

  private static final String[] PARTIAL_COMMANDS = {
    "mg key-", "ms key-1 500 O1 Pc=put,d=1000\r\nhalf a value"
  };

  @TempDir Path folder;

  private final List<Peers.Client> crowd = new ArrayList<>();

  private void openWave(InetSocketAddress node) throws IOException {
    for (int i = 0; i < CLIENTS_PER_WAVE; i++) {
      Peers.Client client = new Peers.Client(node);
      crowd.add(client);
      try {
        client.send(PARTIAL_COMMANDS[i % PARTIAL_COMMANDS.length]);
      } catch (IOException e) {
        // The node has closed this connection already.
      }
    }
  }

  /** Returns the time until a new client gets an answer, in milliseconds. */
  private static long millisUntilServed(InetSocketAddress node) throws Exception {
    long start = System.nanoTime();
    Peers.await("a new client is served", () -> isServed(node));
    return (System.nanoTime() - start) / 1_000_000;
  }

  private static boolean isServed(InetSocketAddress node) {
    try (Peers.Client client = new Peers.Client(node)) {
      return "VA 5 Onew".equals(client.read("new").readLine());
    } catch (IOException e) {
      return false;
    }
  }

  private static long openDescriptors(Process process) throws IOException {
    try (Stream<Path> open = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
      return open.count();
    }
  }

  @Test
  void newClientsAreServedWhileOthersStopWithinCommands() throws Exception {
    ServeProcess node = new ServeProcess(folder, "crowded");
    Process process = null;
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Server discovery = Peers.discovery(41, server)) {
      node.configure("127.0.0.1:0", "", discovery, server);
      process = node.launchWithDescriptorLimit(DESCRIPTORS);
      Peers.await("the node reports its status", () -> node.listenAddress() != null);
      InetSocketAddress address = node.listenAddress();
      long maxDescriptors = 0;
      long maxMillis = 0;
      for (int wave = 0; wave < WAVES; wave++) {
        openWave(address);
        maxDescriptors = Math.max(maxDescriptors, openDescriptors(process));
        maxMillis = Math.max(maxMillis, millisUntilServed(address));
      }
      System.out.println(
          "descriptors: %d at most; a new client was served after %d ms at most"
              .formatted(maxDescriptors, maxMillis));
      assertThat(maxMillis).isLessThan(MAX_WAIT_MILLIS);
      assertThat(maxDescriptors).isBetween(DESCRIPTORS / 2L, (long) DESCRIPTORS);
      assertThat(Files.readString(node.log)).doesNotContain("Too many open files");
      assertThat(process.isAlive()).isTrue();
    } finally {
      for (Peers.Client client : crowd) {
        client.close();
      }
      if (process != null) {
        process.destroyForcibly().waitFor();
      }
    }
  }

  /** The platform's limit may be lower than the configuration says, so that accepting fails. */
  @Test
  void servesAgainAfterConnectionsCouldNotBeAccepted() throws Exception {
    ServeProcess node = new ServeProcess(folder, "limited");
    Process process = null;
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Server discovery = Peers.discovery(41, server)) {
      node.configure("127.0.0.1:0", "", discovery, server);
      process = node.launchWithDescriptorLimit(DESCRIPTORS / 2);
      Peers.await("the node reports its status", () -> node.listenAddress() != null);
      InetSocketAddress address = node.listenAddress();
      openWave(address);
      Peers.await("a connection is not accepted", () -> node.logged("could not be accepted"));
      for (Peers.Client client : crowd) {
        client.close();
      }
      assertThat(millisUntilServed(address)).isLessThan(MAX_WAIT_MILLIS);
      assertThat(process.isAlive()).isTrue();
    } finally {
      if (process != null) {
        process.destroyForcibly().waitFor();
      }
    }
  }
}
