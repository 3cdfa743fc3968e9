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

  /**
   * A part turned down that a few servers' restarts explain, and one that needs all to give way.
   */
  private static final double FEW = 0.03;

  private static final double MANY = 0.06;

  /** What an attempt weighs: some fifty tell. */
  private static final double WEIGHT = 0.02;

  private double turnedDown;

  /** An attempt has found a connection, or has come to be turned down. */
  void seen(boolean refused) {
    turnedDown += WEIGHT * ((refused ? 1 : 0) - turnedDown);
  }

  /** How long a free connection may rest, at most as long as the settings say. */
  long restNanos(long idleNanos) {
    if (idleNanos <= SHORTEST_NANOS || turnedDown <= FEW) {
      return idleNanos;
    }
    double part = Math.min(1, (turnedDown - FEW) / (MANY - FEW));
    return (long) (idleNanos * Math.pow((double) SHORTEST_NANOS / idleNanos, part));
  }
}
