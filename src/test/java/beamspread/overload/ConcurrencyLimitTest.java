package beamspread.overload;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the limit on requests in progress after stalls. */
class ConcurrencyLimitTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;

  private final ConcurrencyLimit limit = new ConcurrencyLimit();

  private int maxAdmitted(long now) {
    int most = 0;
    while (most < 10_000 && limit.admits(now, most)) {
      most++;
    }
    return most;
  }

  @Test
  void noLimitWithoutStalls() {
    assertThat(maxAdmitted(SECOND)).isEqualTo(10_000);
    limit.recordStall(SECOND, 249 * MS, 40);
    assertThat(maxAdmitted(SECOND)).as("a short stall sets no limit").isEqualTo(10_000);
  }

  @Test
  void aStallCutsTheLimitToAPartOfTheRequestsInProgress() {
    limit.recordStall(SECOND, 400 * MS, 200);
    assertThat(maxAdmitted(SECOND)).isEqualTo(125);
    limit.recordStall(SECOND, 2 * SECOND, 100);
    assertThat(maxAdmitted(SECOND)).as("cut to half at most").isEqualTo(50);
    for (int i = 0; i < 20; i++) {
      limit.recordStall(SECOND, 2 * SECOND, 20);
    }
    assertThat(maxAdmitted(SECOND)).as("lower bound").isEqualTo(32);
    limit.recordStall(SECOND, 2 * SECOND, 0);
    assertThat(maxAdmitted(SECOND)).isEqualTo(32);
  }

  @Test
  void theLimitDoublesUntilItIsRemoved() {
    limit.recordStall(SECOND, 2 * SECOND, 80);
    assertThat(maxAdmitted(SECOND)).isEqualTo(40);
    assertThat(maxAdmitted(3 * SECOND)).isBetween(56, 57);
    assertThat(maxAdmitted(5 * SECOND)).isEqualTo(80);
    assertThat(maxAdmitted(9 * SECOND)).isEqualTo(160);
    assertThat(maxAdmitted(9 * SECOND + 1)).as("limit removed").isEqualTo(10_000);
  }

  @Test
  void aFurtherStallCutsTheGrownLimit() {
    limit.recordStall(SECOND, 2 * SECOND, 80);
    limit.recordStall(5 * SECOND, 2 * SECOND, 70);
    assertThat(maxAdmitted(5 * SECOND)).isEqualTo(35);
    assertThat(maxAdmitted(20 * SECOND)).isEqualTo(10_000);
  }
}
