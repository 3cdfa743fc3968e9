package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests of the stand-ins in {@link Peers}. */
class PeersTest {
  /** More than the buffers of two loopback sockets hold. */
  private static final int UNREAD_CHARACTERS = 64 << 20;

  @Test
  void serverClosesWhileWritingToClientThatDoesNotRead() throws Exception {
    String answer = "x".repeat(UNREAD_CHARACTERS);
    Peers.Server server = new Peers.Server(line -> answer);
    try (Peers.Client client = new Peers.Client(server.address(), 1 << 12)) {
      client.read("1");
      Peers.await("the answer is being written", () -> server.lines.size() == 1);
      client.readBytes(1);
      assertTimeoutPreemptively(Duration.ofSeconds(20), server::close);
    }
  }
}
