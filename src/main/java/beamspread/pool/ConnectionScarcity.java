package beamspread.pool;

/**
 * Sets the idle time of free connections by how scarce connections are. All nodes together share
 * the connections that a server accepts, and no node sees the others; a node observes only the
 * share of its attempts that are refused a connection. While that share is small, nothing is closed
 * early, since a new connection costs work on both sides and delays the next attempt. As the share
 * grows, free connections are closed earlier, so that other nodes can use them.
 *
 * <p>Without this, the nodes that connected first would each keep a hardly used connection while
 * the others are refused, send their keys to other servers and so fill the caches with copies. The
 * price is handshakes, more of them the scarcer connections are.
 */
final class ConnectionScarcity {
  /** A shorter idle time would often end a connection between two requests that belong together. */
  static final long MIN_IDLE_TIME_NANOS = 300_000_000L;

  /** A few restarting servers explain up to 3 % refusals; from 6 % on the minimum applies. */
  private static final IdleTimeScale IDLE_TIME_SCALE = new IdleTimeScale(0.03, 0.06);

  /** Weight of one attempt in the moving average: about the last fifty attempts count. */
  private static final double SAMPLE_WEIGHT = 0.02;

  private double refusedShare;

  /** Records whether an attempt was refused a connection or got one. */
  void recordAttempt(boolean refused) {
    refusedShare += SAMPLE_WEIGHT * ((refused ? 1 : 0) - refusedShare);
  }

  /** Returns how long a free connection may stay idle, at most the configured idle timeout. */
  long idleTimeNanos(long idleTimeoutNanos) {
    return IDLE_TIME_SCALE.idleTimeNanos(refusedShare, idleTimeoutNanos, MIN_IDLE_TIME_NANOS);
  }
}
