package beamspread.pool;

/**
 * Estimates how many connections a server accepts from this node. Servers do not announce their
 * limit; a refused connection while others work reveals it. The estimate drops at once to the
 * number of working connections, and rises by one at a time after a pause that doubles with each
 * refusal and halves with each connection that opens.
 *
 * <p>A refusal may also be chance, a reset or a restart, and the fewer connections there are, the
 * more attempts fail with each one that breaks. The first pause is therefore short.
 */
final class ConnectionLimitEstimate {
  static final long INITIAL_RETRY_PAUSE_NANOS = 100_000_000L;
  static final long MAX_RETRY_PAUSE_NANOS = 25_600_000_000L;

  private int ceiling;
  private int estimate;
  private long retryPauseNanos = INITIAL_RETRY_PAUSE_NANOS;
  private long changedAtNanos;

  ConnectionLimitEstimate(int ceiling) {
    this.ceiling = ceiling;
    this.estimate = ceiling;
  }

  /** Changes the maximum that this node itself allows. */
  void setCeiling(int connections) {
    estimate = estimate == ceiling ? connections : Math.min(estimate, connections);
    ceiling = connections;
  }

  /** Returns how many connections may be open or opening now. */
  int maxConnections(long now) {
    return estimate == ceiling || now - changedAtNanos <= retryPauseNanos ? estimate : estimate + 1;
  }

  /** Returns whether the server has shown a limit below this node's own maximum. */
  boolean isKnown() {
    return estimate < ceiling;
  }

  /** Records that a further connection was refused while this many worked. */
  void recordRefusal(long now, int workingConnections) {
    estimate = Math.max(1, Math.min(workingConnections, ceiling));
    changedAtNanos = now;
    retryPauseNanos = Math.min(2 * retryPauseNanos, MAX_RETRY_PAUSE_NANOS);
  }

  /** Records that a connection opened, and how many are open now. */
  void recordOpened(long now, int openConnections) {
    if (openConnections > estimate) {
      estimate = Math.min(openConnections, ceiling);
      changedAtNanos = now;
    }
    retryPauseNanos = Math.max(INITIAL_RETRY_PAUSE_NANOS, retryPauseNanos / 2);
  }
}
