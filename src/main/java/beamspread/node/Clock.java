package beamspread.node;

/**
 * The node's time: seconds that never run backwards, set once by the system's clock so that the
 * start times in the list of servers can be compared with it.
 */
final class Clock {
  private final double anchor = System.currentTimeMillis() / 1e3;
  private final long anchorNanos = System.nanoTime();

  /** Seconds since 1970. */
  double now() {
    return anchor + (System.nanoTime() - anchorNanos) / 1e9;
  }
}
