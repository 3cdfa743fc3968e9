package beamspread.agent;

/**
 * How long a node has from SIGTERM to SIGKILL: what the running process owes by the file that it
 * was started with, whatever its file says by now. Where that is not known, the longest that a node
 * may take. Free of I/O.
 */
final class StopAllowance {
  /** What a node needs beyond its longest deadline to end: late connections, and some to spare. */
  static final long MARGIN_NANOS = 1_600_000_000L;

  /** The longest deadline that a node which ends waits for, whatever its settings. */
  static final long LONGEST_DRAIN_NANOS = 3_000_000_000L;

  private NodeFile startedWith;

  /** A process was started with this file; null if it could not be read. */
  void started(NodeFile file) {
    startedWith = file;
  }

  /** A process was taken over; nobody knows what it was started with. */
  void adopted() {
    startedWith = null;
  }

  /**
   * Returns the nanoseconds from SIGTERM to SIGKILL; 0 where nothing is known, so that the usual
   * time holds.
   *
   * @param file the file as it is now; null if it can't be read
   * @param said the digest of the file that the node says to run with; null if it has said nothing
   */
  long nanos(NodeFile file, String said) {
    long now = file == null ? 0 : file.longestDeadlineNanos();
    boolean known = startedWith != null && (said == null || said.equals(startedWith.digest()));
    long owed = Math.max(now, known ? startedWith.longestDeadlineNanos() : LONGEST_DRAIN_NANOS);
    return owed == 0 ? 0 : owed + MARGIN_NANOS;
  }
}
