package beamspread.overload;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What is taken off a client's wait by how long the process has stalled. */
class DeadlineReserveTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;

  private final DeadlineReserve reserve = new DeadlineReserve();

  @Test
  void whereNothingStallsNothingIsTakenOff() {
    assertThat(reserve.nanos(0, 2 * SECOND)).isZero();
    assertThat(reserve.nanos(Long.MAX_VALUE / 2, SECOND)).isZero();
  }

  @Test
  void twiceTheLongestStallIsAndNeverMoreThanAQuarter() {
    reserve.stalled(SECOND, 100 * MS);
    assertThat(reserve.nanos(SECOND, 2 * SECOND)).isEqualTo(200 * MS);
    reserve.stalled(2 * SECOND, 60 * MS);
    assertThat(reserve.nanos(2 * SECOND, 2 * SECOND)).as("the longer one").isGreaterThan(190 * MS);
    reserve.stalled(3 * SECOND, 5 * SECOND);
    assertThat(reserve.nanos(3 * SECOND, 2 * SECOND)).isEqualTo(500 * MS);
    assertThat(reserve.nanos(3 * SECOND, 100 * MS)).isEqualTo(25 * MS);
  }

  @Test
  void itFadesToNothing() {
    reserve.stalled(SECOND, 200 * MS);
    assertThat(reserve.nanos(31 * SECOND, 2 * SECOND)).isEqualTo(200 * MS);
    assertThat(reserve.nanos(61 * SECOND, 2 * SECOND)).isEqualTo(100 * MS);
    assertThat(reserve.nanos(92 * SECOND, 2 * SECOND)).as("less than a pause").isZero();
    reserve.stalled(93 * SECOND, 50 * MS);
    assertThat(reserve.nanos(93 * SECOND, 2 * SECOND)).isEqualTo(100 * MS);
  }
}
