package beamspread.node;

/**
 * The clock of the node: seconds that never run backwards, aligned once with the system clock so
 * that they can be compared with the start times in the list of servers.
 */
final class Clock {
  private final double anchor = System.currentTimeMillis() / 1e3;
  private final long anchorNanos = System.nanoTime();

  /** Returns the seconds since 1970. */
  double now() {
    return at(System.nanoTime());
  }

  /** Converts a time on the clock of {@link System#nanoTime()} to seconds since 1970. */
  double at(long nanos) {
    return anchor + (nanos - anchorNanos) / 1e9;
  }
}
