package beamspread.lease;

/** The store can't be reached or used: nobody knows who owns a lease. */
public final class LeaseStoreException extends Exception {
  private static final long serialVersionUID = 1L;

  /** With a sentence for people. */
  public LeaseStoreException(String message, Throwable cause) {
    super(message, cause);
  }
}
