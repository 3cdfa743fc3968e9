package beamspread.lease;

/**
 * The side that works under a lease: knows by its own clock until when it may. Times are
 * nanoseconds of one clock that never runs backwards; no two machines' clocks are compared.
 *
 * <p>A lease counts from when it was asked for, not from when the answer came, and ends earlier
 * here than at the store by what clocks may differ in their rates and by what a call in progress
 * takes. A holder that was suspended finds its time over before it begins anything.
 */
public final class LeaseHolder {
  /** The part of the duration that is left unused. */
  private static final int MARGIN_PART = 5;

  /** Renewals come this many times in a duration. */
  private static final int RENEWALS = 3;

  private final long durationNanos;
  private FencingToken token;
  private long grantedAt;
  private boolean lost;

  /** A holder of leases of this duration. */
  public LeaseHolder(long durationNanos) {
    if (durationNanos <= 0) {
      throw new IllegalArgumentException("a lease lasts longer than 0 ns, not " + durationNanos);
    }
    this.durationNanos = durationNanos;
  }

  /**
   * The store has given the lease.
   *
   * @param askedAt when it was asked for
   */
  public void granted(FencingToken given, long askedAt) {
    token = given;
    grantedAt = askedAt;
    lost = false;
  }

  /**
   * The store has prolonged the lease. Nothing is prolonged that was over here already: what was
   * stopped because of that stays stopped.
   *
   * @param askedAt when that was asked for
   */
  public void renewed(long askedAt, long now) {
    if (holds(now) && askedAt - grantedAt > 0) {
      grantedAt = askedAt;
    }
  }

  /** The store says that it is somebody else's, or it was given back. */
  public void lost() {
    lost = true;
  }

  /** Whether work may begin now. */
  public boolean holds(long now) {
    return token != null && !lost && now - stopAt() < 0;
  }

  /** When work has to stop unless the lease is renewed. */
  public long stopAt() {
    return grantedAt + durationNanos - durationNanos / MARGIN_PART;
  }

  /** How long after a lease was asked for it is to be renewed, in nanoseconds. */
  public long renewalNanos() {
    return durationNanos / RENEWALS;
  }

  /** When to ask for the next renewal. */
  public long renewAt() {
    return grantedAt + renewalNanos();
  }

  /** What is shown with each call; null before a lease was given. */
  public FencingToken token() {
    return token;
  }
}
