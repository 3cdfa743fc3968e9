package beamspread.pool;

/**
 * What this node believes of how many connections a server takes from it. Nobody says; a refused
 * connection while others work shows it. Falls at once to what works, and rises by one at a time:
 * after a pause that doubles with each refusal, and halves with each connection that comes up.
 *
 * <p>A refusal may as well be chance, a reset or a restart, and the fewer connections, the more
 * attempts end with each that breaks: the first pause is short.
 */
final class LimitEstimate {
  static final long FIRST_PAUSE_NANOS = 100_000_000L;
  static final long LONGEST_PAUSE_NANOS = 25_600_000_000L;

  private int ceiling;
  private int most;
  private long pause = FIRST_PAUSE_NANOS;
  private long changedAt;

  LimitEstimate(int ceiling) {
    this.ceiling = ceiling;
    this.most = ceiling;
  }

  /** The most that this node wants is another. */
  void ceiling(int connections) {
    most = most == ceiling ? connections : Math.min(most, connections);
    ceiling = connections;
  }

  /** How many may be open, or coming up, now. */
  int most(long now) {
    return most == ceiling || now - changedAt <= pause ? most : most + 1;
  }

  /** Whether a limit under the ceiling has shown. */
  boolean known() {
    return most < ceiling;
  }

  /** One more was turned down while this many worked. */
  void refused(long now, int working) {
    most = Math.max(1, Math.min(working, ceiling));
    changedAt = now;
    pause = Math.min(2 * pause, LONGEST_PAUSE_NANOS);
  }

  /** One came up, and now so many are open. */
  void opened(long now, int open) {
    if (open > most) {
      most = Math.min(open, ceiling);
      changedAt = now;
    }
    pause = Math.max(FIRST_PAUSE_NANOS, pause / 2);
  }
}
