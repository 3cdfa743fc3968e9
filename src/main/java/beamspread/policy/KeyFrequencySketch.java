package beamspread.policy;

import beamspread.model.Hashes;

/** Estimates how often this balancer sees each key: a count-min sketch with exponential decay. */
final class KeyFrequencySketch {
  private static final int COUNTERS_PER_ROW = 1 << 12;

  /** Time in which a count decays to half: short, since popularity changes. */
  private static final double HALF_LIFE_SECONDS = 4;

  private final float[][] rows = new float[2][COUNTERS_PER_ROW];

  /** The number of recent requests for all keys, with the same decay. */
  float total;

  private double decayedAt;

  /** Counts a request for a key and returns an upper estimate of its recent requests. */
  float recordAndEstimate(double now, long keyHash) {
    // After ten half-lives counts are near 0: longer pauses need no further steps.
    decayedAt = decayedAt == 0 ? now : Math.max(decayedAt, now - 10 * HALF_LIFE_SECONDS);
    while (now - decayedAt >= HALF_LIFE_SECONDS / 4) {
      decayedAt += HALF_LIFE_SECONDS / 4;
      decay();
    }
    total++;
    float estimate = Float.MAX_VALUE;
    long hash = keyHash;
    for (float[] row : rows) {
      hash = Hashes.mix(hash);
      estimate = Math.min(estimate, ++row[(int) hash & (COUNTERS_PER_ROW - 1)]);
    }
    return estimate;
  }

  private void decay() {
    float factor = 0.8409f; // the fourth root of 0.5: four steps make one half-life
    total *= factor;
    for (float[] row : rows) {
      for (int column = 0; column < COUNTERS_PER_ROW; column++) {
        row[column] *= factor;
      }
    }
  }
}
