package beamspread.variants;

/**
 * Validity times of the variant table and of splits, and the schedule of comparisons.
 *
 * @param fleet the fleet whose tables are used
 * @param holdNanos how long a table is valid without being renewed
 * @param restNanos how long a family stays split after a difference was found or a key was written
 * @param slots number of slots in a round of comparisons
 * @param slotNanos duration of a slot
 */
public record VariantSettings(
    String fleet, long holdNanos, long restNanos, int slots, long slotNanos) {
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  /**
   * Checks the settings.
   *
   * @throws IllegalArgumentException that names the invalid value
   */
  public VariantSettings {
    check(fleet.matches("[A-Za-z0-9._-]{1,64}"), "fleet must have 1 to 64 letters, digits, . _ -");
    check(
        holdNanos >= NANOS_PER_SECOND && holdNanos <= 600 * NANOS_PER_SECOND,
        "hold_s must be 1 to 600");
    check(restNanos >= holdNanos, "rest_s must be at least as long as hold_s");
    check(slots >= 2 && slots <= 1 << 16, "slots must be 2 to 65536");
    check(
        slotNanos >= NANOS_PER_SECOND / 20 && slotNanos <= 60 * NANOS_PER_SECOND,
        "slot_s must be 0.05 to 60");
  }

  private static void check(boolean valid, String problem) {
    if (!valid) {
      throw new IllegalArgumentException(problem);
    }
  }

  /** Returns the defaults, with which each object is compared once in 512 s. */
  public static VariantSettings defaults(String fleet) {
    return new VariantSettings(
        fleet, 10 * NANOS_PER_SECOND, 600 * NANOS_PER_SECOND, 256, 2 * NANOS_PER_SECOND);
  }

  /** Returns the interval between two calls for the table. */
  public long pullIntervalNanos() {
    return holdNanos / 3;
  }

  /**
   * Returns the maximum time for which a variant may still be served in place of a different one
   * after the difference was found.
   */
  public long maxSplitDelayNanos() {
    return holdNanos + 2 * pullIntervalNanos();
  }
}
