package beamspread.tier;

/**
 * Settings of a tier's failure detector and gossip. All members of a tier should have the same.
 *
 * @param name of the tier; datagrams of other tiers are rejected
 * @param intervalNanos protocol period, between two heartbeats to each neighbour
 * @param silenceNanos how long a neighbour may be silent on a link without losses
 * @param lateNanos how late a protocol period may start before this process counts as stalled
 * @param doubtNanos how long this process waits before it suspects most of its neighbours at once
 * @param rememberNanos how long the record of a member that is gone is kept
 * @param bytesPerSecond maximum average rate of bytes sent
 * @param burstBytes how many bytes may be sent above that rate in a burst
 */
public record TierSettings(
    String name,
    long intervalNanos,
    long silenceNanos,
    long lateNanos,
    long doubtNanos,
    long rememberNanos,
    int bytesPerSecond,
    int burstBytes) {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Checks the settings.
   *
   * @throws IllegalArgumentException if a value is out of range, naming it
   */
  public TierSettings {
    check(!name.isBlank() && name.length() <= 64, "name must have 1 to 64 characters");
    check(intervalNanos >= 20 * NANOS_PER_MILLI, "interval must be at least 0.02 s");
    check(intervalNanos <= 10_000 * NANOS_PER_MILLI, "interval must be at most 10 s");
    check(silenceNanos >= 3 * intervalNanos, "silence must be at least three intervals");
    check(silenceNanos <= 60_000 * NANOS_PER_MILLI, "silence must be at most 60 s");
    check(lateNanos >= 10 * NANOS_PER_MILLI, "late must be at least 0.01 s");
    check(doubtNanos >= 0, "doubt must not be negative");
    check(rememberNanos >= silenceNanos, "remember must be at least as long as silence");
    check(bytesPerSecond >= 500, "bytes must be at least 500 per second");
    check(
        burstBytes >= 4 * Datagram.MAX_BYTES,
        "burst must be " + 4 * Datagram.MAX_BYTES + " bytes or more");
  }

  private static void check(boolean valid, String problem) {
    if (!valid) {
      throw new IllegalArgumentException(problem);
    }
  }

  /** Returns the defaults, for a network within one region. */
  public static TierSettings defaults(String name) {
    return new TierSettings(
        name,
        250 * NANOS_PER_MILLI,
        1600 * NANOS_PER_MILLI,
        250 * NANOS_PER_MILLI,
        3000 * NANOS_PER_MILLI,
        600_000 * NANOS_PER_MILLI,
        2000,
        32_000);
  }

  /** Returns the tag that distinguishes datagrams of this tier from those of others. */
  int tag() {
    return Hashing.hash(name);
  }
}
