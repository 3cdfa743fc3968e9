package beamspread.variants;

import java.util.HashMap;
import java.util.Map;

/**
 * Finds out that variants which count as the same are not. Time is cut into slots, and each object
 * has its turn in one slot of each round: then its variants are asked for under their own keys, and
 * their values compared. So each object that is asked for in its slots is looked at once a round,
 * and a small part of the requests at any time.
 */
final class DifferenceSampler {
  /** Objects that are compared in one slot; more are left to the next round. */
  private static final int MOST_OBJECTS = 4096;

  private final int slots;
  private final long slotNanos;
  private final Map<Variants, ValueHash> seen = new HashMap<>();
  private long slot = Long.MIN_VALUE;

  /** The variants of an object that count as the same. */
  private record Variants(String object, int representative) {}

  /**
   * A sampler.
   *
   * @param slots how many slots a round has
   * @param slotNanos how long each lasts
   */
  DifferenceSampler(int slots, long slotNanos) {
    this.slots = slots;
    this.slotNanos = slotNanos;
  }

  /** Whether it is an object's turn. */
  boolean isDue(long now, String object) {
    return Math.floorMod(object.hashCode(), slots)
        == Math.floorMod(Math.floorDiv(now, slotNanos), slots);
  }

  /**
   * A value has come under a variant's own key.
   *
   * @return whether it differs from that of another variant of this object that counts as the same
   */
  boolean differs(long now, String object, int representative, ValueHash hash) {
    if (Math.floorDiv(now, slotNanos) != slot) {
      slot = Math.floorDiv(now, slotNanos);
      seen.clear();
    }
    Variants variants = new Variants(object, representative);
    if (seen.size() >= MOST_OBJECTS && !seen.containsKey(variants)) {
      return false;
    }
    ValueHash before = seen.putIfAbsent(variants, hash);
    return before != null && !before.equals(hash);
  }
}
