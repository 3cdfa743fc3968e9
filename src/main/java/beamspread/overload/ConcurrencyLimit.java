package beamspread.overload;

/**
 * How many requests a process may have in progress, by how long it has stalled of late. Times are
 * nanoseconds of one clock that never runs backwards.
 *
 * <p>What a stall makes late is what is in progress when it begins. There is no limit until the
 * process has stalled for {@link #LEAST_STALL_NANOS}; each such stall then cuts the limit to a part
 * of what was in progress, the smaller the longer it was (the gradient of adaptive concurrency
 * limits), and without further stalls it grows again, until it is above what the process had in
 * progress before it stalled.
 */
public final class ConcurrencyLimit {
  /**
   * The shortest stall that counts. An answer may be half a second late before it is lost; half of
   * that is left to what else delays it.
   */
  public static final long LEAST_STALL_NANOS = 250_000_000L;

  /** No stall cuts the limit to a smaller part than this. */
  private static final double SMALLEST_GRADIENT = 0.5;

  /**
   * So many requests may always be in progress, so that the process goes on serving: as many as one
   * connection may have.
   */
  private static final int LEAST = 32;

  /** How long the limit takes to double without stalls. */
  private static final long DOUBLING_NANOS = 4_000_000_000L;

  /** The limit right after the last stall. */
  private double limit = Double.POSITIVE_INFINITY;

  /** The largest number in progress at a stall, from which on there is no limit again. */
  private int usual;

  private long stalledAt;

  /**
   * The process has stalled for so long until now.
   *
   * @param inProgress how many requests were in progress
   */
  public void stalled(long now, long nanos, int inProgress) {
    if (nanos < LEAST_STALL_NANOS) {
      return;
    }
    double before = current(now);
    usual = Double.isInfinite(before) ? inProgress : Math.max(usual, inProgress);
    double gradient = Math.max(SMALLEST_GRADIENT, (double) LEAST_STALL_NANOS / nanos);
    limit = Math.max(LEAST, Math.min(before, inProgress) * gradient);
    stalledAt = now;
  }

  /** Whether one more request may begin. */
  public boolean admits(long now, int inProgress) {
    return inProgress < current(now);
  }

  private double current(long now) {
    if (Double.isInfinite(limit)) {
      return limit;
    }
    double doublings = Math.max(0, now - stalledAt) / (double) DOUBLING_NANOS;
    double grown = limit * Math.pow(2, doublings);
    return grown > 2.0 * Math.max(usual, LEAST) ? Double.POSITIVE_INFINITY : grown;
  }
}
