package beamspread.loop;

/**
 * Counts the sockets that were closed in the current turn of an event loop. A selector releases
 * their descriptors only when it next waits, so until then they count against the process's limit.
 * Runs on the event loop only.
 */
public final class UnreleasedSockets {
  private final EventLoopMonitor monitor;
  private long turn;
  private int count;

  /** Creates the count for the loop of this monitor. */
  public UnreleasedSockets(EventLoopMonitor monitor) {
    this.monitor = monitor;
  }

  /** Records that a socket was closed. */
  public void socketClosed() {
    count = count() + 1;
  }

  /** Returns how many sockets were closed and hold their descriptors still. */
  public int count() {
    if (turn != monitor.turn()) {
      turn = monitor.turn();
      count = 0;
    }
    return count;
  }
}
