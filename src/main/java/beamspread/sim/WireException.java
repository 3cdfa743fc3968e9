package beamspread.sim;

/** Thrown if the input violates the protocol; the message names the line and the error. */
public final class WireException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a description of the error. */
  public WireException(String message) {
    super(message);
  }
}
