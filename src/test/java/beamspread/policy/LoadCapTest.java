package beamspread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beamspread.model.Settings;
import org.junit.jupiter.api.Test;

class LoadCapTest {
  private static int cap(int inFlight, double weight, double total, int instances) {
    return cap(inFlight, weight, total, instances, Settings.Spread.DEFAULT);
  }

  private static int cap(
      int inFlight, double weight, double total, int instances, Settings.Spread spread) {
    return LoadCap.cap(inFlight, weight, total, BalancerFixtures.settings(instances, spread));
  }

  @Test
  void equalsTheCapOfThePaperForEqualWeights() {
    // 1.5 * 80 / 10 = 12, 1.5 * 81 / 10 = 12.15
    assertEquals(12, cap(80, 1, 10, 4));
    assertEquals(13, cap(81, 1, 10, 4));
  }

  @Test
  void neverFallsBelowItsFloor() {
    assertEquals(3, cap(1, 1, 10, 4));
    assertEquals(3, cap(100, 0, 0, 4));
  }

  @Test
  void dividesTheFloorAmongTheBalancers() {
    assertEquals(6, cap(1, 1, 10, 2));
    assertEquals(2, cap(1, 1, 10, 7));
    assertEquals(1, cap(3, 1, 40, 30));
    assertEquals(2, cap(5, 1, 40, 30), "two often meet by chance");
  }

  @Test
  void usesEpsilonAndFloorOfTheSettings() {
    assertEquals(10, cap(80, 1, 10, 4, new Settings.Spread(0.25, 12, 128)));
    assertEquals(8, cap(1, 1, 10, 4, new Settings.Spread(0.25, 30, 128)));
  }

  @Test
  void usesWeightsAndIgnoresInvalidOnes() {
    assertEquals(30, cap(100, 2, 10, 4));
    assertEquals(3, cap(100, Double.NaN, 10, 4));
    assertEquals(3, cap(100, -3, 10, 4));
    assertEquals(3, cap(100, Double.POSITIVE_INFINITY, 10, 4));
  }
}
