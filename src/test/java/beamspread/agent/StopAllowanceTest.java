package beamspread.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against a kill before what the running process owes, however its file was replaced. */
class StopAllowanceTest {
  private static final long SECOND = 1_000_000_000L;
  private static final int SCHEDULES = 2000;

  private static NodeFile file(String digest, long deadlineNanos) {
    return new NodeFile(digest, deadlineNanos);
  }

  @Test
  void whatTheProcessWasStartedWithCountsAndALongerFileToo() {
    StopAllowance allowance = new StopAllowance();
    allowance.started(file("a", 2 * SECOND));
    assertThat(allowance.nanos(file("b", SECOND / 2), "a")).isEqualTo(3_600_000_000L);
    assertThat(allowance.nanos(null, "a")).isEqualTo(3_600_000_000L);
    assertThat(allowance.nanos(file("b", 5 * SECOND), null)).isEqualTo(6_600_000_000L);
  }

  @Test
  void whereItIsNotKnownTheLongestCounts() {
    StopAllowance allowance = new StopAllowance();
    allowance.started(file("a", SECOND));
    assertThat(allowance.nanos(file("a", SECOND), "other"))
        .as("it says another file")
        .isEqualTo(4_600_000_000L);
    allowance.adopted();
    assertThat(allowance.nanos(file("a", SECOND), "a")).isEqualTo(4_600_000_000L);
    allowance.started(null);
    assertThat(allowance.nanos(null, null)).isEqualTo(4_600_000_000L);
  }

  @Test
  void aFileWithoutDeadlinesLeavesTheUsualTime() {
    StopAllowance allowance = new StopAllowance();
    allowance.started(file("a", 0));
    assertThat(allowance.nanos(file("a", 0), "a")).isZero();
  }

  /** Files that are replaced at any time, by shorter, longer and unreadable ones. */
  @Test
  void noScheduleOfReplacementsShortensWhatIsOwed() {
    for (int seed = 0; seed < SCHEDULES; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      StopAllowance allowance = new StopAllowance();
      NodeFile onDisk = drawn(random);
      long inForce = 0;
      String says = null;
      for (int step = 0; step < 20; step++) {
        switch (random.nextInt(4)) {
          case 0 -> onDisk = drawn(random);
          case 1 -> {
            allowance.started(onDisk);
            // The node may read its file after the agent has.
            NodeFile read = random.nextInt(4) == 0 ? drawn(random) : onDisk;
            inForce = read == null ? 0 : read.longestDeadlineNanos();
            boolean other = read != onDisk;
            says = read != null && (other || random.nextBoolean()) ? read.digest() : null;
          }
          case 2 -> allowance.adopted();
          default -> {
            long owed = Math.min(inForce, 3 * SECOND) + 7 * SECOND / 10;
            long given = allowance.nanos(onDisk, says);
            assertThat(given == 0 ? 5 * SECOND : given)
                .as("seed %d", seed)
                .isGreaterThanOrEqualTo(owed);
          }
        }
      }
    }
  }

  private static NodeFile drawn(SplittableRandom random) {
    long deadline = random.nextLong(4 * SECOND);
    return random.nextInt(5) == 0 ? null : file(Long.toString(random.nextLong()), deadline);
  }
}
