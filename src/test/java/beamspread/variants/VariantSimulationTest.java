package beamspread.variants;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Runs many simulations: without defects no rule is violated, and each injected defect is detected.
 */
class VariantSimulationTest {
  private static final int SEEDS = 1000;
  private static final int DEFECT_SEEDS = 120;

  private static int nodeCount(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    return random.nextInt(50) == 0 ? 490 : 3 + random.nextInt(38);
  }

  private static VariantSimulation simulate(
      long seed, EnumSet<VariantSimulation.InjectedDefect> defects) {
    try {
      VariantSimulation simulation = new VariantSimulation(seed, nodeCount(seed), defects);
      simulation.run();
      return simulation;
    } catch (VariantException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void violatesNoRuleWithoutDefects() {
    long[] sums = new long[2];
    IntStream.range(0, SEEDS)
        .parallel()
        .mapToObj(
            seed ->
                Map.entry(
                    seed, simulate(seed, EnumSet.noneOf(VariantSimulation.InjectedDefect.class))))
        .forEach(
            entry -> {
              synchronized (sums) {
                sums[0] += entry.getValue().answers;
                sums[1] += entry.getValue().rewritten;
              }
              assertThat(entry.getValue().violations).as("seed %s", entry.getKey()).isEmpty();
            });
    System.out.println(
        SEEDS + " simulations: " + sums[0] + " answers, " + sums[1] + " for a rewritten key");
    assertThat(sums[1]).isGreaterThan(sums[0] / 20);
  }

  @ParameterizedTest
  @CsvSource({
    "HOLD_FROM_ARRIVAL,EXPIRED_TABLE_USED",
    "NODE_HOLD_FROM_ARRIVAL,EXPIRED_TABLE_USED",
    "DIGEST_NOT_CHECKED,EXPIRED_TABLE_USED",
    "SPLIT_NOT_REPORTED,WRITE_NOT_PROPAGATED",
    "OBJECT_NAME_LOST,WRONG_OBJECT",
    "VALUES_NOT_COMPARED,WRONG_VALUE_FOR_TOO_LONG",
    "WRITE_WITHOUT_SPLIT,WRITE_NOT_PROPAGATED",
    "TABLE_KEPT_ACROSS_RESTART,EXPIRED_TABLE_USED",
    "OLDER_TOKEN_ACCEPTED,VERSION_WENT_BACK",
  })
  void detectsEachInjectedDefect(
      VariantSimulation.InjectedDefect defect, VariantSimulation.Violation expected) {
    Map<VariantSimulation.Violation, Integer> found =
        new EnumMap<>(VariantSimulation.Violation.class);
    IntStream.range(0, DEFECT_SEEDS)
        .parallel()
        .mapToObj(seed -> simulate(seed, EnumSet.of(defect)))
        .forEach(
            simulation -> {
              synchronized (found) {
                simulation.violations.forEach(violation -> found.merge(violation, 1, Integer::sum));
              }
            });
    System.out.println(defect + " in " + DEFECT_SEEDS + " simulations: " + found);
    assertThat(found).containsKey(expected);
  }
}
