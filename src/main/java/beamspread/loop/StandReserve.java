package beamspread.loop;

/**
 * How much earlier than its client stops waiting a request is given up, by how long this process
 * has stood still of late. Free of I/O; times are nanoseconds of one clock that never runs
 * backwards.
 *
 * <p>Guards against the answer that nobody waits for any more: while a process stands, stopped by
 * its machine or short of it, no timer fires, and what was to be answered then is answered that
 * much too late. What stood before may stand again, and longer: the reserve is twice the longest
 * stand, which counts half after each further half-life. It costs the answers that would have come
 * in the reserve, so it is never more than a quarter of the wait; where nothing stands there is
 * none.
 */
public final class StandReserve {
  /** Stands come in groups: what else runs on a machine does so for minutes. */
  private static final long HALF_LIFE_NANOS = 30_000_000_000L;

  private static final int MOST_PART = 4;

  private long longest;
  private long at;

  /** The process has stood still for so long until now. */
  public void stood(long now, long nanos) {
    if (nanos >= faded(now)) {
      longest = nanos;
      at = now;
    }
  }

  /** What to take off a wait of so many nanoseconds. */
  public long nanos(long now, long wait) {
    return Math.max(0, Math.min(wait / MOST_PART, 2 * faded(now)));
  }

  private long faded(long now) {
    double halves = Math.max(0, now - at) / (double) HALF_LIFE_NANOS;
    long left = (long) (longest * Math.pow(0.5, halves));
    return left < LoopWatch.PAUSE_NANOS ? 0 : left;
  }
}
