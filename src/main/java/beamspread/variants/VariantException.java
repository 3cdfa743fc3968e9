package beamspread.variants;

/** Thrown for rules or a table that cannot be used; the message names the place. */
public final class VariantException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message names the error and its place. */
  public VariantException(String message) {
    super(message);
  }
}
