package beamspread.lease;

/** A lease belongs to somebody else. */
public final class LeaseHeldException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient Lease lease;

  /** With the lease as the store has it. */
  public LeaseHeldException(Lease lease) {
    super(
        "lease "
            + lease.name()
            + " is held by "
            + lease.described()
            + " with token "
            + lease.epoch());
    this.lease = lease;
  }

  /** The lease as the store has it. */
  public Lease lease() {
    return lease;
  }
}
