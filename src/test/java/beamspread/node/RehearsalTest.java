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
  void goesThroughAllItsRequests() throws Exception {
    assertEquals(
        Rehearsal.REQUESTS, Rehearsal.run(Rehearsal.sample(true), new Log("rehearsal", false)));
  }

  @Test
  void whoComesToADomainSocketIsMet(@TempDir Path folder) throws Exception {
    assertTrue(Rehearsal.meets(folder.resolve("a"), folder.resolve("a")));
  }

  @Test
  void whereNobodyComesThereIsNoRehearsal(@TempDir Path folder) throws Exception {
    // Refused, as by a platform that binds domain sockets and leads nobody to them.
    assertFalse(Rehearsal.meets(folder.resolve("a"), folder.resolve("b")));
    // Connected elsewhere: the listener itself never hears of it.
    try (ServerSocketChannel elsewhere = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
      elsewhere.bind(UnixDomainSocketAddress.of(folder.resolve("d")));
      assertFalse(Rehearsal.meets(folder.resolve("c"), folder.resolve("d")));
    }
  }
}
