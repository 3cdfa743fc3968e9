package beamspread.chaos;

/**
 * What befalls what is sent over a link in one direction at a time. Several faults at once add up.
 *
 * @param cut nothing gets through
 * @param loss share of datagrams that never arrive, 0 to 1
 * @param delayNanos how long all are under way
 * @param jitterNanos how much longer, at most; equally likely up to it
 * @param duplicate share of datagrams that arrive twice
 * @param reorder share of datagrams that are overtaken by those sent after them
 * @param truncate share of datagrams that arrive cut short
 * @param bytesPerSecond what the link carries, 0 for as much as comes
 */
public record LinkState(
    boolean cut,
    double loss,
    long delayNanos,
    long jitterNanos,
    double duplicate,
    double reorder,
    double truncate,
    long bytesPerSecond) {

  /** A link that nothing befalls. */
  public static final LinkState CLEAR = new LinkState(false, 0, 0, 0, 0, 0, 0, 0);

  /**
   * What a fault of a kind does to a link.
   *
   * @param share of datagrams, where the kind has one; the other figures likewise
   */
  static LinkState of(
      Fault.Kind kind, double share, long delayNanos, long jitterNanos, long bytesPerSecond) {
    return switch (kind) {
      case CUT, ONE_WAY, BRIDGE, FLAP -> new LinkState(true, 0, 0, 0, 0, 0, 0, 0);
      case LOSS -> new LinkState(false, share, 0, 0, 0, 0, 0, 0);
      case DUPLICATE -> new LinkState(false, 0, 0, 0, share, 0, 0, 0);
      case REORDER -> new LinkState(false, 0, 0, 0, 0, share, 0, 0);
      case TRUNCATE -> new LinkState(false, 0, 0, 0, 0, 0, share, 0);
      case DELAY -> new LinkState(false, 0, delayNanos, jitterNanos, 0, 0, 0, 0);
      case SLOW -> new LinkState(false, 0, 0, 0, 0, 0, 0, bytesPerSecond);
      case RESET, PAUSE, KILL, TERM, UPGRADE -> CLEAR;
    };
  }

  /** This link when that befalls it as well: shares as of independent chances, delays in sum. */
  public LinkState and(LinkState other) {
    return new LinkState(
        cut || other.cut,
        either(loss, other.loss),
        delayNanos + other.delayNanos,
        jitterNanos + other.jitterNanos,
        either(duplicate, other.duplicate),
        either(reorder, other.reorder),
        either(truncate, other.truncate),
        slower(bytesPerSecond, other.bytesPerSecond));
  }

  private static double either(double one, double other) {
    return one + other - one * other;
  }

  private static long slower(long one, long other) {
    return one == 0 || other == 0 ? Math.max(one, other) : Math.min(one, other);
  }
}
