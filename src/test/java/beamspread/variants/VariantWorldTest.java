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

/** Many worlds: in none is a key replaced that should not be, and each mistake shows. */
class VariantWorldTest {
  private static final int SEEDS = 1000;
  private static final int MISTAKEN_SEEDS = 120;

  private static int size(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    return random.nextInt(50) == 0 ? 490 : 3 + random.nextInt(38);
  }

  private static VariantWorld play(long seed, EnumSet<VariantWorld.Mistake> mistakes) {
    try {
      VariantWorld world = new VariantWorld(seed, size(seed), mistakes);
      world.play();
      return world;
    } catch (VariantException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void noAnswerIsOneThatWasNotAllowed() {
    long[] sums = new long[2];
    IntStream.range(0, SEEDS)
        .parallel()
        .mapToObj(seed -> Map.entry(seed, play(seed, EnumSet.noneOf(VariantWorld.Mistake.class))))
        .forEach(
            one -> {
              synchronized (sums) {
                sums[0] += one.getValue().answers;
                sums[1] += one.getValue().rewritten;
              }
              assertThat(one.getValue().breaches).as("seed %s", one.getKey()).isEmpty();
            });
    System.out.println(
        SEEDS + " worlds: " + sums[0] + " answers, " + sums[1] + " under another key");
    assertThat(sums[1]).isGreaterThan(sums[0] / 20);
  }

  @ParameterizedTest
  @CsvSource({
    "HOLD_FROM_ARRIVAL,ENDED_TABLE_USED",
    "NODE_HOLD_FROM_ARRIVAL,ENDED_TABLE_USED",
    "DIGEST_NOT_CHECKED,ENDED_TABLE_USED",
    "SPLIT_NOT_TOLD,WRITE_NOT_SEEN",
    "CLASS_CUT_OFF_TWICE,ANOTHER_OBJECT",
    "VALUES_NOT_COMPARED,WRONG_VALUE_FOR_TOO_LONG",
    "WRITE_WITHOUT_SPLIT,WRITE_NOT_SEEN",
    "TABLE_KEPT_OVER_A_START,ENDED_TABLE_USED",
    "OLDER_TOKEN_TAKEN,VERSION_WENT_BACK",
  })
  void eachMistakeIsFound(VariantWorld.Mistake mistake, VariantWorld.Breach breach) {
    Map<VariantWorld.Breach, Integer> found = new EnumMap<>(VariantWorld.Breach.class);
    IntStream.range(0, MISTAKEN_SEEDS)
        .parallel()
        .mapToObj(seed -> play(seed, EnumSet.of(mistake)))
        .forEach(
            world -> {
              synchronized (found) {
                world.breaches.forEach(one -> found.merge(one, 1, Integer::sum));
              }
            });
    System.out.println(mistake + " in " + MISTAKEN_SEEDS + " worlds: " + found);
    assertThat(found).containsKey(breach);
  }
}
