package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.LeakCheck;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.api.io.TempDir;

@ExtendWith(LeakCheck.class)
class RehearsalTest {
  @Test
  void servesAllRequests() throws Exception {
    assertEquals(
        Rehearsal.REQUESTS,
        Rehearsal.run(Rehearsal.sampleConfig(true), new Log("rehearsal", false)));
  }

  @Test
  void detectsWorkingDomainSocket(@TempDir Path folder) throws Exception {
    assertTrue(Rehearsal.canConnect(folder.resolve("a"), folder.resolve("a")));
  }

  @Test
  void detectsDomainSocketWithoutConnections(@TempDir Path folder) throws Exception {
    // Refused, as on a platform that binds domain sockets but delivers no connections to them.
    assertFalse(Rehearsal.canConnect(folder.resolve("a"), folder.resolve("b")));
    // Connected to another socket: the listener never receives the connection.
    try (ServerSocketChannel elsewhere = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
      elsewhere.bind(UnixDomainSocketAddress.of(folder.resolve("d")));
      assertFalse(Rehearsal.canConnect(folder.resolve("c"), folder.resolve("d")));
    }
  }
}
