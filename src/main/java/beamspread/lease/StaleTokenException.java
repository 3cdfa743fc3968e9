package beamspread.lease;

/** Work was asked for under a token that is lower than one that has been seen. */
public final class StaleTokenException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient FencingToken given;
  private final long seen;

  /**
   * @param given the token that was refused
   * @param seen the highest epoch of that name
   */
  public StaleTokenException(FencingToken given, long seen) {
    super(
        "lease "
            + given.name()
            + " has passed to a later owner: token "
            + given.epoch()
            + " was given, token "
            + seen
            + " has been seen");
    this.given = given;
    this.seen = seen;
  }

  /** The token that was refused. */
  public FencingToken given() {
    return given;
  }

  /** The highest epoch of that name. */
  public long seen() {
    return seen;
  }
}
