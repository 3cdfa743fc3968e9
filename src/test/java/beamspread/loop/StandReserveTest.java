package beamspread.loop;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What is taken off a client's wait by how long the process has stood still. */
class StandReserveTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;

  private final StandReserve reserve = new StandReserve();

  @Test
  void whereNothingStandsNothingIsTakenOff() {
    assertThat(reserve.nanos(0, 2 * SECOND)).isZero();
    assertThat(reserve.nanos(Long.MAX_VALUE / 2, SECOND)).isZero();
  }

  @Test
  void twiceTheLongestStandIsAndNeverMoreThanAQuarter() {
    reserve.stood(SECOND, 100 * MS);
    assertThat(reserve.nanos(SECOND, 2 * SECOND)).isEqualTo(200 * MS);
    reserve.stood(2 * SECOND, 60 * MS);
    assertThat(reserve.nanos(2 * SECOND, 2 * SECOND)).as("the longer one").isGreaterThan(190 * MS);
    reserve.stood(3 * SECOND, 5 * SECOND);
    assertThat(reserve.nanos(3 * SECOND, 2 * SECOND)).isEqualTo(500 * MS);
    assertThat(reserve.nanos(3 * SECOND, 100 * MS)).isEqualTo(25 * MS);
  }

  @Test
  void itFadesToNothing() {
    reserve.stood(SECOND, 200 * MS);
    assertThat(reserve.nanos(31 * SECOND, 2 * SECOND)).isEqualTo(200 * MS);
    assertThat(reserve.nanos(61 * SECOND, 2 * SECOND)).isEqualTo(100 * MS);
    assertThat(reserve.nanos(92 * SECOND, 2 * SECOND)).as("less than a pause").isZero();
    reserve.stood(93 * SECOND, 50 * MS);
    assertThat(reserve.nanos(93 * SECOND, 2 * SECOND)).isEqualTo(100 * MS);
  }
}
