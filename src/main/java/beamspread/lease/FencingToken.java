package beamspread.lease;

/**
 * Proof of a lease: its name and an epoch that rises with each new owner. Whoever carries out work
 * for an owner keeps the highest epoch that it has seen of each name, and refuses lower ones.
 *
 * @param name what is leased, such as {@code rollout/main}
 * @param epoch from 1
 */
public record FencingToken(String name, long epoch) {
  private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._/-]{0,127}";

  /**
   * @throws IllegalArgumentException if the name or the epoch can't be one
   */
  public FencingToken {
    if (!isName(name)) {
      throw new IllegalArgumentException("'" + name + "' is no name of a lease");
    }
    if (epoch < 1) {
      throw new IllegalArgumentException("a token's epoch counts from 1, is " + epoch);
    }
  }

  /** Whether this can be a lease's name: letters, digits, and . _ / - behind the first. */
  public static boolean isName(String name) {
    return name != null && name.matches(NAME);
  }

  /** As calls carry it: the name and the epoch. */
  public String text() {
    return name + " " + epoch;
  }

  /**
   * Reads a token as calls carry it.
   *
   * @throws IllegalArgumentException if it is none
   */
  public static FencingToken parse(String text) {
    int space = text.lastIndexOf(' ');
    if (space < 0) {
      throw new IllegalArgumentException("'" + text + "' is no name and epoch");
    }
    try {
      return new FencingToken(text.substring(0, space), Long.parseLong(text.substring(space + 1)));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("'" + text + "': the epoch is no whole number");
    }
  }
}
