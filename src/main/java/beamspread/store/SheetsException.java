package beamspread.store;

/** The database could not do it; the message says what to look at. */
public final class SheetsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Whether what was asked for is certain not to have been done. */
  private final boolean harmless;

  /**
   * @param cause may be null
   */
  public SheetsException(String message, boolean harmless, Throwable cause) {
    super(message, cause);
    this.harmless = harmless;
  }

  /** Whether what was asked for is certain not to have been done, and can be asked for again. */
  public boolean harmless() {
    return harmless;
  }
}
