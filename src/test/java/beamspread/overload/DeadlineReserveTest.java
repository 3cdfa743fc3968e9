package beamspread.overload;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the reserve that is subtracted from a client's wait after stalls. */
class DeadlineReserveTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;

  private final DeadlineReserve reserve = new DeadlineReserve();

  @Test
  void noReserveWithoutStalls() {
    assertThat(reserve.reserveNanos(0, 2 * SECOND)).isZero();
    assertThat(reserve.reserveNanos(Long.MAX_VALUE / 2, SECOND)).isZero();
  }

  @Test
  void reserveIsTwiceTheLongestStallAndAtMostAQuarterOfTheWait() {
    reserve.recordStall(SECOND, 100 * MS);
    assertThat(reserve.reserveNanos(SECOND, 2 * SECOND)).isEqualTo(200 * MS);
    reserve.recordStall(2 * SECOND, 60 * MS);
    assertThat(reserve.reserveNanos(2 * SECOND, 2 * SECOND))
        .as("the longer stall counts")
        .isGreaterThan(190 * MS);
    reserve.recordStall(3 * SECOND, 5 * SECOND);
    assertThat(reserve.reserveNanos(3 * SECOND, 2 * SECOND)).isEqualTo(500 * MS);
    assertThat(reserve.reserveNanos(3 * SECOND, 100 * MS)).isEqualTo(25 * MS);
  }

  @Test
  void reserveDecaysToZero() {
    reserve.recordStall(SECOND, 200 * MS);
    assertThat(reserve.reserveNanos(31 * SECOND, 2 * SECOND)).isEqualTo(200 * MS);
    assertThat(reserve.reserveNanos(61 * SECOND, 2 * SECOND)).isEqualTo(100 * MS);
    assertThat(reserve.reserveNanos(92 * SECOND, 2 * SECOND))
        .as("below the shortest stall that counts")
        .isZero();
    reserve.recordStall(93 * SECOND, 50 * MS);
    assertThat(reserve.reserveNanos(93 * SECOND, 2 * SECOND)).isEqualTo(100 * MS);
  }
}
