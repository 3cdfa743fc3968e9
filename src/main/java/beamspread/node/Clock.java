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
    return at(System.nanoTime());
  }

  /** The same for a time on the clock of {@link System#nanoTime()}. */
  double at(long nanos) {
    return anchor + (nanos - anchorNanos) / 1e9;
  }
}
