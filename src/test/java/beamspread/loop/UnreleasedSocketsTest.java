package beamspread.loop;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against descriptors of closed sockets that are taken for free ones (incident 0003). */
class UnreleasedSocketsTest {
  @Test
  void closedSocketsCountUntilTheNextTurn() {
    EventLoopMonitor monitor = new EventLoopMonitor(pause -> {});
    UnreleasedSockets sockets = new UnreleasedSockets(monitor);
    sockets.socketClosed();
    sockets.socketClosed();
    assertThat(sockets.count()).isEqualTo(2);
    monitor.waitBegins(1_000, 0);
    assertThat(sockets.count()).isZero();
    sockets.socketClosed();
    assertThat(sockets.count()).isEqualTo(1);
  }
}
