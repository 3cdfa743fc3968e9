package beamspread.overload;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** How many requests a process that stalls may have in progress. */
class ConcurrencyLimitTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;

  private final ConcurrencyLimit limit = new ConcurrencyLimit();

  private int admitted(long now) {
    int most = 0;
    while (most < 10_000 && limit.admits(now, most)) {
      most++;
    }
    return most;
  }

  @Test
  void withoutStallsThereIsNone() {
    assertThat(admitted(SECOND)).isEqualTo(10_000);
    limit.stalled(SECOND, 249 * MS, 40);
    assertThat(admitted(SECOND)).as("a short stall loses nothing").isEqualTo(10_000);
  }

  @Test
  void aStallLeavesAPartOfWhatWasInProgress() {
    limit.stalled(SECOND, 400 * MS, 200);
    assertThat(admitted(SECOND)).isEqualTo(125);
    limit.stalled(SECOND, 2 * SECOND, 100);
    assertThat(admitted(SECOND)).as("half at least").isEqualTo(50);
    for (int i = 0; i < 20; i++) {
      limit.stalled(SECOND, 2 * SECOND, 20);
    }
    assertThat(admitted(SECOND)).as("it goes on serving").isEqualTo(32);
    limit.stalled(SECOND, 2 * SECOND, 0);
    assertThat(admitted(SECOND)).isEqualTo(32);
  }

  @Test
  void itComesBackStepByStep() {
    limit.stalled(SECOND, 2 * SECOND, 80);
    assertThat(admitted(SECOND)).isEqualTo(40);
    assertThat(admitted(3 * SECOND)).isBetween(56, 57);
    assertThat(admitted(5 * SECOND)).isEqualTo(80);
    assertThat(admitted(9 * SECOND)).isEqualTo(160);
    assertThat(admitted(9 * SECOND + 1)).as("over").isEqualTo(10_000);
  }

  @Test
  void aFurtherStallCutsWhatHadComeBack() {
    limit.stalled(SECOND, 2 * SECOND, 80);
    limit.stalled(5 * SECOND, 2 * SECOND, 70);
    assertThat(admitted(5 * SECOND)).isEqualTo(35);
    assertThat(admitted(20 * SECOND)).isEqualTo(10_000);
  }
}
