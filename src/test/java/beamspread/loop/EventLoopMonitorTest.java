package beamspread.loop;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventLoopMonitorTest {
  private static final long MS = 1_000_000L;

  private final List<Long> pauses = new ArrayList<>();
  private final EventLoopMonitor monitor = new EventLoopMonitor(pauses::add);

  @Test
  void aLongWaitIsNotCountedAsATurn() {
    monitor.waitBegins(1 * MS, Long.MAX_VALUE);
    monitor.socketsHandled(9000 * MS, 2 * MS);
    monitor.waitBegins(9003 * MS, 100 * MS);
    assertThat(monitor.longestTurnNanos()).isEqualTo(5 * MS);
    assertThat(pauses).isEmpty();
    assertThat(monitor.pausedNanos(9050 * MS)).isZero();
  }

  @Test
  void aLateWakeUpCountsAsPartOfTheTurn() {
    monitor.waitBegins(1 * MS, 100 * MS);
    monitor.socketsHandled(401 * MS, 0);
    assertThat(monitor.pausedNanos(402 * MS)).as("during the turn").isEqualTo(301 * MS);
    monitor.waitBegins(402 * MS, 100 * MS);
    assertThat(pauses).containsExactly(301 * MS);
    assertThat(monitor.pausedNanos(450 * MS)).isEqualTo(301 * MS);
  }

  @Test
  void aLongTurnIsReportedAsAPause() {
    monitor.waitBegins(1 * MS, Long.MAX_VALUE);
    monitor.socketsHandled(10 * MS, 0);
    monitor.waitBegins(59 * MS, 10 * MS);
    assertThat(pauses).isEmpty();
    monitor.socketsHandled(60 * MS, 0);
    monitor.waitBegins(110 * MS, 10 * MS);
    assertThat(pauses).containsExactly(50 * MS);
    assertThat(monitor.pauseCount()).isEqualTo(1);
  }

  @Test
  void anEarlyWakeUpIsNotLate() {
    monitor.waitBegins(1 * MS, 100 * MS);
    monitor.socketsHandled(20 * MS, 5 * MS);
    monitor.waitBegins(21 * MS, 0);
    monitor.socketsHandled(21 * MS, 0);
    monitor.waitBegins(22 * MS, 100 * MS);
    assertThat(monitor.longestTurnNanos()).isEqualTo(6 * MS);
  }

  @Test
  void unreadTimeAfterALateWakeUpStartsAtTheLastSocketRead() {
    monitor.waitBegins(1 * MS, 100 * MS);
    monitor.socketsHandled(20 * MS, 0);
    monitor.waitBegins(22 * MS, 100 * MS);
    assertThat(monitor.maxUnreadNanos(90 * MS)).as("before the wake-up is due").isZero();
    assertThat(monitor.maxUnreadNanos(171 * MS)).as("late by less than a pause").isZero();
    assertThat(monitor.maxUnreadNanos(1122 * MS)).as("a late wake-up").isEqualTo(1102 * MS);
    monitor.socketsHandled(1123 * MS, 1 * MS);
    assertThat(monitor.maxUnreadNanos(1124 * MS)).as("within the same turn").isEqualTo(1002 * MS);
    monitor.waitBegins(1130 * MS, 100 * MS);
    assertThat(monitor.maxUnreadNanos(1131 * MS)).as("all that had come was read").isZero();
  }

  @Test
  void unreadTimeAfterALongTurnStartsWhenTheTurnBegan() {
    assertThat(monitor.maxUnreadNanos(5 * MS)).as("before the first look").isZero();
    monitor.waitBegins(10 * MS, 100 * MS);
    monitor.socketsHandled(20 * MS, 0);
    assertThat(monitor.maxUnreadNanos(60 * MS)).isZero();
    assertThat(monitor.maxUnreadNanos(80 * MS)).isEqualTo(60 * MS);
    monitor.waitBegins(520 * MS, 0);
    assertThat(monitor.maxUnreadNanos(521 * MS)).as("after the long turn").isEqualTo(501 * MS);
    monitor.socketsHandled(522 * MS, 1 * MS);
    monitor.waitBegins(523 * MS, 100 * MS);
    assertThat(monitor.maxUnreadNanos(524 * MS)).as("the loop keeps up again").isZero();
    assertThat(monitor.turn()).isEqualTo(3);
  }
}
