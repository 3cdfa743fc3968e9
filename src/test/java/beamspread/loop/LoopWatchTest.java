package beamspread.loop;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LoopWatchTest {
  private static final long MS = 1_000_000L;

  private final List<Long> pauses = new ArrayList<>();
  private final LoopWatch watch = new LoopWatch(pauses::add);

  @Test
  void aWaitIsNoTurnHoweverLong() {
    watch.waits(1 * MS, Long.MAX_VALUE);
    watch.ran(9000 * MS, 2 * MS);
    watch.waits(9003 * MS, 100 * MS);
    assertThat(watch.longestNanos()).isEqualTo(5 * MS);
    assertThat(pauses).isEmpty();
    assertThat(watch.lostNanos(9050 * MS)).isZero();
  }

  @Test
  void wakingUpTooLateIsPartOfTheTurn() {
    watch.waits(1 * MS, 100 * MS);
    watch.ran(401 * MS, 0);
    assertThat(watch.lostNanos(402 * MS)).as("while the turn lasts").isEqualTo(301 * MS);
    watch.waits(402 * MS, 100 * MS);
    assertThat(pauses).containsExactly(301 * MS);
    assertThat(watch.lostNanos(450 * MS)).isEqualTo(301 * MS);
  }

  @Test
  void aTurnThatWorksForLongIsAPause() {
    watch.waits(1 * MS, Long.MAX_VALUE);
    watch.ran(10 * MS, 0);
    watch.waits(59 * MS, 10 * MS);
    assertThat(pauses).isEmpty();
    watch.ran(60 * MS, 0);
    watch.waits(110 * MS, 10 * MS);
    assertThat(pauses).containsExactly(50 * MS);
    assertThat(watch.pauses()).isEqualTo(1);
  }

  @Test
  void whatWakesItEarlyIsNotLate() {
    watch.waits(1 * MS, 100 * MS);
    watch.ran(20 * MS, 5 * MS);
    watch.waits(21 * MS, 0);
    watch.ran(21 * MS, 0);
    watch.waits(22 * MS, 100 * MS);
    assertThat(watch.longestNanos()).isEqualTo(6 * MS);
  }

  @Test
  void whatIsReadAfterAStallMayHaveWaitedSinceTheLastLook() {
    watch.waits(1 * MS, 100 * MS);
    watch.ran(20 * MS, 0);
    watch.waits(22 * MS, 100 * MS);
    assertThat(watch.unreadNanos(90 * MS)).as("in time").isZero();
    assertThat(watch.unreadNanos(171 * MS)).as("hardly late").isZero();
    assertThat(watch.unreadNanos(1122 * MS)).as("a late wake-up").isEqualTo(1102 * MS);
    watch.ran(1123 * MS, 1 * MS);
    assertThat(watch.unreadNanos(1124 * MS)).as("within the same turn").isEqualTo(1002 * MS);
    watch.waits(1130 * MS, 100 * MS);
    assertThat(watch.unreadNanos(1131 * MS)).as("all that had come was read").isZero();
  }

  @Test
  void whatIsReadAfterALongTurnMayHaveWaitedSinceItBegan() {
    assertThat(watch.unreadNanos(5 * MS)).as("before the first look").isZero();
    watch.waits(10 * MS, 100 * MS);
    watch.ran(20 * MS, 0);
    assertThat(watch.unreadNanos(60 * MS)).isZero();
    assertThat(watch.unreadNanos(80 * MS)).isEqualTo(60 * MS);
    watch.waits(520 * MS, 0);
    assertThat(watch.unreadNanos(521 * MS)).as("what the turn left").isEqualTo(501 * MS);
    watch.ran(522 * MS, 1 * MS);
    watch.waits(523 * MS, 100 * MS);
    assertThat(watch.unreadNanos(524 * MS)).as("the loop keeps up again").isZero();
    assertThat(watch.turn()).isEqualTo(3);
  }
}
