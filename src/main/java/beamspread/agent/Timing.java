package beamspread.agent;

/**
 * How long things may take, in nanoseconds.
 *
 * @param start from the launch until the instance is ready
 * @param settle how long one that tells no status has to run to count as ready
 * @param stop from SIGTERM to SIGKILL
 * @param reload from SIGHUP until the node says that it has read its file
 * @param look how long a status may take
 * @param idleLook from one status to the next while nothing is done
 * @param backoffFirst the pause before the first restart of one that ended by itself
 * @param backoffLongest the longest pause; each is twice the one before
 * @param exits how many times it may end by itself within the window and be started again
 * @param window the window in which these are counted
 */
record Timing(
    long start,
    long settle,
    long stop,
    long reload,
    long look,
    long idleLook,
    long backoffFirst,
    long backoffLongest,
    int exits,
    long window) {

  private static final long SECOND = 1_000_000_000L;

  /** What holds where the configuration says nothing. */
  static Timing usual() {
    return new Timing(
        30 * SECOND,
        SECOND,
        5 * SECOND,
        5 * SECOND,
        SECOND,
        10 * SECOND,
        SECOND / 2,
        30 * SECOND,
        5,
        120 * SECOND);
  }

  Timing withStop(long nanos) {
    return new Timing(
        start, settle, nanos, reload, look, idleLook, backoffFirst, backoffLongest, exits, window);
  }

  static String seconds(long nanos) {
    return String.format(java.util.Locale.ROOT, "%.1f s", nanos / 1e9);
  }
}
