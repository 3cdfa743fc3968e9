package beamspread.variants;

/**
 * How long what is shared holds.
 *
 * @param fleet whose tables these are
 * @param holdNanos how long a table holds without being renewed
 * @param restNanos how long a family that was found to differ, or was written, is left alone
 * @param slots how many slots a round of comparisons has
 * @param slotNanos how long a slot lasts
 */
public record VariantSettings(
    String fleet, long holdNanos, long restNanos, int slots, long slotNanos) {
  private static final long SECOND = 1_000_000_000;

  /**
   * Checks the figures.
   *
   * @throws IllegalArgumentException that names the one that makes no sense
   */
  public VariantSettings {
    check(fleet.matches("[A-Za-z0-9._-]{1,64}"), "fleet must have 1 to 64 letters, digits, . _ -");
    check(holdNanos >= SECOND && holdNanos <= 600 * SECOND, "hold_s must be 1 to 600");
    check(restNanos >= holdNanos, "rest_s must be as long as hold_s at least");
    check(slots >= 2 && slots <= 1 << 16, "slots must be 2 to 65536");
    check(slotNanos >= SECOND / 20 && slotNanos <= 60 * SECOND, "slot_s must be 0.05 to 60");
  }

  private static void check(boolean holds, String problem) {
    if (!holds) {
      throw new IllegalArgumentException(problem);
    }
  }

  /** What holds where nothing is said: each object is compared once in 512 s. */
  public static VariantSettings usual(String fleet) {
    return new VariantSettings(fleet, 10 * SECOND, 600 * SECOND, 256, 2 * SECOND);
  }

  /** Between two calls for the table. */
  public long pullNanos() {
    return holdNanos / 3;
  }

  /** The longest that a variant may be served in place of one that differs, once that is seen. */
  public long splitNanos() {
    return holdNanos + 2 * pullNanos();
  }
}
