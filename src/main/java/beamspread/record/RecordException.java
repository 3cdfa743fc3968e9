package beamspread.record;

/** The record could not be read or written; the message says what to look at. */
public final class RecordException extends Exception {
  private static final long serialVersionUID = 1L;

  /** One with its cause, which may be null. */
  public RecordException(String message, Throwable cause) {
    super(message, cause);
  }
}
