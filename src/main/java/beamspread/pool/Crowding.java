package beamspread.pool;

/**
 * How long a connection that is not in use is kept, by how scarce connections are. Servers take so
 * many from all nodes together, and no node sees the others; what it sees is the part of its
 * attempts that find none. While that is small nothing is closed early, since a new connection
 * costs both sides work and the next attempt time. Where it grows, what is free goes round among
 * the nodes.
 *
 * <p>Guards against the tier in which those who came first keep a connection each that they hardly
 * use, while all others are turned down, go elsewhere with their keys and so fill the caches with
 * copies. It costs handshakes, the more the scarcer connections are.
 */
final class Crowding {
  /** Under this a connection would often end between two requests that belong together. */
  static final long SHORTEST_NANOS = 300_000_000L;

  /** Up to 3 % turned down is what a few servers' restarts explain; at 6 % all must give way. */
  private static final Rest REST = new Rest(0.03, 0.06);

  /** What an attempt weighs: some fifty tell. */
  private static final double WEIGHT = 0.02;

  private double turnedDown;

  /** An attempt has found a connection, or has come to be turned down. */
  void seen(boolean refused) {
    turnedDown += WEIGHT * ((refused ? 1 : 0) - turnedDown);
  }

  /** How long a free connection may rest, at most as long as the settings say. */
  long restNanos(long idleNanos) {
    return REST.nanos(turnedDown, idleNanos, SHORTEST_NANOS);
  }
}
