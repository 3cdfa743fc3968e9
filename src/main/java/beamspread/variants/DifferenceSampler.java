package beamspread.variants;

import java.util.HashMap;
import java.util.Map;

/**
 * Detects variants that count as the same but have different values. Time is divided into slots,
 * and each object is due in one slot of each round: then its variants are requested under their own
 * keys and their values compared. So each object that is requested during its slots is checked once
 * per round, and only a small part of the requests is affected at any time.
 */
final class DifferenceSampler {
  /** Maximum number of objects compared in one slot; further ones are checked in a later round. */
  private static final int MAX_OBJECTS_PER_SLOT = 4096;

  private final int slots;
  private final long slotNanos;
  private final Map<EquivalentVariants, ValueHash> firstHashes = new HashMap<>();
  private long currentSlot = Long.MIN_VALUE;

  /** A set of variants of one object that count as the same. */
  private record EquivalentVariants(String object, int representative) {}

  /**
   * Creates a sampler.
   *
   * @param slots number of slots per round
   * @param slotNanos duration of a slot
   */
  DifferenceSampler(int slots, long slotNanos) {
    this.slots = slots;
    this.slotNanos = slotNanos;
  }

  /** Returns whether an object is due to be compared. */
  boolean isDue(long now, String object) {
    return Math.floorMod(object.hashCode(), slots)
        == Math.floorMod(Math.floorDiv(now, slotNanos), slots);
  }

  /**
   * Records the value that was received under a variant's own key.
   *
   * @return whether it differs from the first value of this slot for the same object and set
   */
  boolean differs(long now, String object, int representative, ValueHash hash) {
    if (Math.floorDiv(now, slotNanos) != currentSlot) {
      currentSlot = Math.floorDiv(now, slotNanos);
      firstHashes.clear();
    }
    EquivalentVariants variants = new EquivalentVariants(object, representative);
    if (firstHashes.size() >= MAX_OBJECTS_PER_SLOT && !firstHashes.containsKey(variants)) {
      return false;
    }
    ValueHash first = firstHashes.putIfAbsent(variants, hash);
    return first != null && !first.equals(hash);
  }
}
