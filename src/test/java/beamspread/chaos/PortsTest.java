package beamspread.chaos;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs side by side keep out of each other's way. */
class PortsTest {
  @TempDir Path folder;

  @Test
  void aPortIsNotGivenAwayTwice() throws IOException {
    Set<Integer> given = new HashSet<>();
    for (int i = 0; i < 1000; i++) {
      assertThat(given.add(Ports.free())).isTrue();
    }
  }

  @Test
  void anotherProcessThatAnswersIsNotTakenForOneThatHasEnded() throws Exception {
    try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress at =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), other.getLocalPort());
      Program program =
          new Program(
              "n0",
              List.of("false"),
              Map.of(),
              folder,
              () -> Ports.listens(at),
              new History(System.nanoTime()));
      program.start();
      program.end();
      assertThatThrownBy(() -> program.awaitReady(10)).hasMessageStartingWith("n0 has ended");
    }
  }
}
