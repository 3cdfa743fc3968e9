package beamspread.overload;

/**
 * Computes how long before the client's deadline a request is answered, from the recent stalls of
 * this process. Times are nanoseconds of a monotonic clock.
 *
 * <p>While a process stalls, because its machine has stopped it or has no CPU time for it, no timer
 * fires, and answers that were due are sent after the client has stopped waiting. A process that
 * has stalled may stall again, and for longer, so the reserve is twice the longest recent stall,
 * which counts half after each half-life. Server answers that arrive within the reserve are wasted,
 * so it is at most a quarter of the wait; without stalls it is 0.
 */
public final class DeadlineReserve {
  /** Stalls come in groups, since other load on a machine lasts for minutes. */
  private static final long HALF_LIFE_NANOS = 30_000_000_000L;

  /** The reserve is at most the wait divided by this. */
  private static final int MAX_RESERVE_DIVISOR = 4;

  /** Shorter stalls are ignored: they delay answers too little to matter. */
  private static final long MIN_STALL_NANOS = 50_000_000L;

  private long longestStallNanos;
  private long longestStallAtNanos;

  /** Records a stall of this length that ends now. */
  public void recordStall(long nowNanos, long stallNanos) {
    if (stallNanos >= decayedStallNanos(nowNanos)) {
      longestStallNanos = stallNanos;
      longestStallAtNanos = nowNanos;
    }
  }

  /** Returns the reserve to subtract from a wait of this many nanoseconds. */
  public long reserveNanos(long nowNanos, long waitNanos) {
    return Math.max(0, Math.min(waitNanos / MAX_RESERVE_DIVISOR, 2 * decayedStallNanos(nowNanos)));
  }

  private long decayedStallNanos(long nowNanos) {
    double halfLives = Math.max(0, nowNanos - longestStallAtNanos) / (double) HALF_LIFE_NANOS;
    long remainingNanos = (long) (longestStallNanos * Math.pow(0.5, halfLives));
    return remainingNanos < MIN_STALL_NANOS ? 0 : remainingNanos;
  }
}
