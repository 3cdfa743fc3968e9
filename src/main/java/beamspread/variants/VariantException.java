package beamspread.variants;

/** Rules or a table that can't be used; the message names the place. */
public final class VariantException extends Exception {
  private static final long serialVersionUID = 1L;

  /** With what is wrong, and where. */
  public VariantException(String message) {
    super(message);
  }
}
