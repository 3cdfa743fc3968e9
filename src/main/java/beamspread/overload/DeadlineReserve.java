package beamspread.overload;

/**
 * How much earlier than its client stops waiting a request is given up, by how long this process
 * has stalled of late. Times are nanoseconds of one clock that never runs backwards.
 *
 * <p>Guards against the answer that nobody waits for any more: while a process stalls, stopped by
 * its machine or short of it, no timer fires, and what was to be answered then is answered that
 * much too late. A process that has stalled may stall again, and for longer: the reserve is twice
 * the longest stall, which counts half after each further half-life. It costs the answers that
 * would have come in the reserve, so it is never more than a quarter of the wait; where nothing
 * stalls there is none.
 */
public final class DeadlineReserve {
  /** Stalls come in groups: what else runs on a machine does so for minutes. */
  private static final long HALF_LIFE_NANOS = 30_000_000_000L;

  private static final int LARGEST_PART = 4;

  /** A shorter stall delays no answer by a time that counts. */
  private static final long LEAST_STALL_NANOS = 50_000_000L;

  private long longestStall;
  private long stalledAt;

  /** The process has stalled for so long until now. */
  public void stalled(long now, long nanos) {
    if (nanos >= faded(now)) {
      longestStall = nanos;
      stalledAt = now;
    }
  }

  /** What to take off a wait of so many nanoseconds. */
  public long nanos(long now, long wait) {
    return Math.max(0, Math.min(wait / LARGEST_PART, 2 * faded(now)));
  }

  private long faded(long now) {
    double halfLives = Math.max(0, now - stalledAt) / (double) HALF_LIFE_NANOS;
    long left = (long) (longestStall * Math.pow(0.5, halfLives));
    return left < LEAST_STALL_NANOS ? 0 : left;
  }
}
