package beamspread.policy;

import beamspread.model.Hashes;

/** How often this balancer sees each key: a small count-min sketch that fades. */
final class KeyHeat {
  private static final int CELLS = 1 << 12;

  /** Seconds after which old sightings count half: a few, since popularity moves on. */
  private static final double HALF_LIFE = 4;

  private final float[][] rows = new float[2][CELLS];

  /** All recent sightings, counted alike. */
  float total;

  private double foldedAt;

  /** Counts a sighting and returns the key's weight: its recent sightings, an upper estimate. */
  float seen(double now, long keyHash) {
    // A long silence is folded no further than to nothing, and a first sighting not at all.
    foldedAt = foldedAt == 0 ? now : Math.max(foldedAt, now - 10 * HALF_LIFE);
    while (now - foldedAt >= HALF_LIFE / 4) {
      foldedAt += HALF_LIFE / 4;
      fold();
    }
    total++;
    float least = Float.MAX_VALUE;
    long h = keyHash;
    for (float[] row : rows) {
      h = Hashes.mix(h);
      least = Math.min(least, ++row[(int) h & (CELLS - 1)]);
    }
    return least;
  }

  private void fold() {
    float keep = 0.8409f; // the fourth root of a half
    total *= keep;
    for (float[] row : rows) {
      for (int i = 0; i < CELLS; i++) {
        row[i] *= keep;
      }
    }
  }
}
