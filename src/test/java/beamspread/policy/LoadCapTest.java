package beamspread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LoadCapTest {
  @Test
  void isThePapersCapForEqualWeights() {
    // 1.5 * 80 / 10 = 12, 1.5 * 81 / 10 = 12.15
    assertEquals(12, LoadCap.cap(80, 1, 10, 4));
    assertEquals(13, LoadCap.cap(81, 1, 10, 4));
  }

  @Test
  void neverFallsBelowItsFloor() {
    assertEquals(3, LoadCap.cap(1, 1, 10, 4));
    assertEquals(3, LoadCap.cap(100, 0, 0, 4));
  }

  @Test
  void splitsItsFloorAmongTheBalancers() {
    assertEquals(6, LoadCap.cap(1, 1, 10, 2));
    assertEquals(2, LoadCap.cap(1, 1, 10, 7));
    assertEquals(1, LoadCap.cap(3, 1, 40, 30));
    assertEquals(2, LoadCap.cap(5, 1, 40, 30), "two often meet by chance");
  }

  @Test
  void followsWeightsAndIgnoresNonsense() {
    assertEquals(30, LoadCap.cap(100, 2, 10, 4));
    assertEquals(3, LoadCap.cap(100, Double.NaN, 10, 4));
    assertEquals(3, LoadCap.cap(100, -3, 10, 4));
    assertEquals(3, LoadCap.cap(100, Double.POSITIVE_INFINITY, 10, 4));
  }
}
