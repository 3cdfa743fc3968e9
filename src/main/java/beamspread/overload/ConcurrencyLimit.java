package beamspread.overload;

/**
 * Limits the requests in progress by the recent stalls of this process. Times are nanoseconds of a
 * monotonic clock.
 *
 * <p>A stall delays the requests that are in progress when it begins. There is no limit until the
 * process has stalled for {@link #MIN_STALL_NANOS}. Each such stall cuts the limit to a part of the
 * requests in progress that is smaller the longer the stall was (the gradient of adaptive
 * concurrency limits). Without further stalls the limit grows until it exceeds twice the number of
 * requests that were in progress before the stalls, and is then removed.
 */
public final class ConcurrencyLimit {
  /**
   * The shortest stall that counts. An answer is lost if it is half a second late; half of that is
   * reserved for other delays.
   */
  public static final long MIN_STALL_NANOS = 250_000_000L;

  /** Smallest factor by which one stall cuts the limit. */
  private static final double MIN_GRADIENT = 0.5;

  /**
   * Lower bound of the limit, so that the process goes on serving: the multiplexing depth of one
   * connection.
   */
  private static final int MIN_LIMIT = 32;

  /** Time in which the limit doubles without stalls. */
  private static final long DOUBLING_NANOS = 4_000_000_000L;

  /** The limit right after the last stall. */
  private double limitAfterStall = Double.POSITIVE_INFINITY;

  /** Most requests in progress at a stall; the limit is removed once it exceeds twice this. */
  private int maxInProgress;

  private long lastStallAtNanos;

  /**
   * Records a stall that ends now.
   *
   * @param stallNanos how long the process stalled
   * @param inProgress number of requests in progress
   */
  public void recordStall(long nowNanos, long stallNanos, int inProgress) {
    if (stallNanos < MIN_STALL_NANOS) {
      return;
    }
    double limitBefore = currentLimit(nowNanos);
    maxInProgress =
        Double.isInfinite(limitBefore) ? inProgress : Math.max(maxInProgress, inProgress);
    double gradient = Math.max(MIN_GRADIENT, (double) MIN_STALL_NANOS / stallNanos);
    limitAfterStall = Math.max(MIN_LIMIT, Math.min(limitBefore, inProgress) * gradient);
    lastStallAtNanos = nowNanos;
  }

  /** Returns whether one more request may begin. */
  public boolean admits(long nowNanos, int inProgress) {
    return inProgress < currentLimit(nowNanos);
  }

  private double currentLimit(long nowNanos) {
    if (Double.isInfinite(limitAfterStall)) {
      return limitAfterStall;
    }
    double doublings = Math.max(0, nowNanos - lastStallAtNanos) / (double) DOUBLING_NANOS;
    double grown = limitAfterStall * Math.pow(2, doublings);
    return grown > 2.0 * Math.max(maxInProgress, MIN_LIMIT) ? Double.POSITIVE_INFINITY : grown;
  }
}
