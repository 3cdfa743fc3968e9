package beamspread.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Manages the connections of one node to all its cache servers. Not thread-safe. Times are
 * nanoseconds of one monotonic clock.
 *
 * @param <A> the type of an attempt; compared by identity
 */
public final class Pools<A> {
  /**
   * Connections are opened ahead of need only below this share of the sockets; the rest is kept for
   * attempts that have arrived.
   */
  private static final double MAX_SOCKET_SHARE_AHEAD_OF_NEED = 0.8;

  private PoolSettings settings;
  private final DoubleSupplier random;
  private final PoolActions<A> actions;
  private final Map<Long, ServerConnections<A>> servers = new HashMap<>();

  /** Servers that have left the list, until their last connection has ended. */
  private final List<ServerConnections<A>> leaving = new ArrayList<>();

  /** Each connection with its server, by connection id. */
  private final Map<Long, OwnedConnection<A>> connections = new HashMap<>();

  private final ConnectionScarcity scarcity = new ConnectionScarcity();
  private long lastConnectionId;
  private int openingCount;

  /** Connections whose close was requested but not yet reported; their sockets count as free. */
  private int closingCount;

  private record OwnedConnection<A>(ServerConnections<A> server, PooledConnection connection) {}

  /**
   * @param random numbers from 0 to 1, which spread the times at which connections expire
   * @throws IllegalArgumentException if the settings are invalid
   */
  public Pools(PoolSettings settings, DoubleSupplier random, PoolActions<A> actions) {
    if (!settings.validationErrors().isEmpty()) {
      throw new IllegalArgumentException(String.join("; ", settings.validationErrors()));
    }
    this.settings = settings;
    this.random = random;
    this.actions = actions;
  }

  PoolActions<A> actions() {
    return actions;
  }

  PoolSettings settings() {
    return settings;
  }

  /**
   * Applies changed settings. Connections beyond the new limits close as they become free.
   *
   * @throws IllegalArgumentException if the settings are invalid
   */
  public void applySettings(PoolSettings newSettings) {
    if (!newSettings.validationErrors().isEmpty()) {
      throw new IllegalArgumentException(String.join("; ", newSettings.validationErrors()));
    }
    settings = newSettings;
    servers.values().forEach(server -> server.applySettings(newSettings));
  }

  // Changes of the server list.

  /**
   * Adds or updates a server of the list.
   *
   * @param addressChanged whether its address has changed
   * @param startedAt when its process started; {@link Long#MIN_VALUE} for long ago
   */
  public void serverListed(long server, boolean addressChanged, long startedAt) {
    servers.computeIfAbsent(server, this::createOrRestore).serverListed(addressChanged, startedAt);
  }

  /**
   * Returns the state of a server that left and returns, so that its limits still hold, or a new
   * one.
   */
  private ServerConnections<A> createOrRestore(long server) {
    for (ServerConnections<A> gone : leaving) {
      if (gone.server == server) {
        leaving.remove(gone);
        gone.serverReturned();
        return gone;
      }
    }
    return new ServerConnections<>(server, this);
  }

  /**
   * Fails the attempts that wait for a connection to a draining server. A send counts from its
   * first byte, so an attempt decided earlier must not wait for a connection beyond the drain
   * grace.
   */
  public void serverDraining(long server) {
    ServerConnections<A> connections = servers.get(server);
    if (connections != null) {
      connections.failWaitingAttempts();
    }
  }

  /** Removes a server: attempts in flight may end, and no new ones start. */
  public void serverLeft(long server) {
    ServerConnections<A> gone = servers.remove(server);
    if (gone != null) {
      leaving.add(gone);
      gone.serverLeft();
      leaving.removeIf(ServerConnections::isDone);
    }
  }

  // Attempts.

  /**
   * Sends an attempt on a connection to a server.
   *
   * @param unrepeatable whether it can't be repeated, so that it must not be lost with others on
   *     its connection
   */
  public void send(long now, long server, A attempt, boolean unrepeatable) {
    ServerConnections<A> connections = servers.get(server);
    if (connections == null) {
      actions.rejectUnreachable(attempt);
    } else {
      connections.send(now, attempt, unrepeatable);
    }
  }

  /** Withdraws an attempt that has not been written. */
  public void withdrawWaiting(long server, A attempt) {
    ServerConnections<A> connections = servers.get(server);
    if (connections != null) {
      connections.withdrawWaiting(attempt);
    }
  }

  /** Records that an attempt in flight on a connection is no longer awaited. */
  public void attemptAbandoned(long connectionId, long writtenAt, boolean overdue) {
    OwnedConnection<A> owned = connections.get(connectionId);
    if (owned != null) {
      owned.server().attemptAbandoned(owned.connection(), writtenAt, overdue);
    }
  }

  // Connections.

  /** Records that a connection is established. */
  public void connectionOpened(long now, long connectionId) {
    OwnedConnection<A> owned = connections.get(connectionId);
    openingCount--;
    owned.server().connectionOpened(now, owned.connection());
    placeStarvedAttempts(now);
  }

  /**
   * Records that a connection could not be opened.
   *
   * @param timedOut whether the server did not respond at all
   */
  public void connectionFailed(long now, long connectionId, boolean timedOut) {
    OwnedConnection<A> owned = connections.remove(connectionId);
    openingCount--;
    owned.server().connectionFailed(now, owned.connection(), timedOut);
    placeStarvedAttempts(now);
    leaving.removeIf(ServerConnections::isDone);
  }

  /** Records that data was received on a connection. */
  public void dataReceived(long now, long connectionId) {
    OwnedConnection<A> owned = connections.get(connectionId);
    if (owned != null) {
      owned.server().dataReceived(now, owned.connection());
    }
  }

  /**
   * Records that an answer on a connection has begun and makes no progress: nothing is written
   * behind it until more data is received.
   */
  public void answerStalled(long connectionId) {
    OwnedConnection<A> owned = connections.get(connectionId);
    if (owned != null) {
      owned.server().answerStalled(owned.connection());
    }
  }

  /**
   * Records the head of the answer to the oldest attempt in flight on a connection. The rest is
   * streamed in parts until {@link #attemptAnswered}; nothing more is written behind it.
   */
  public void streamingStarted(long now, long connectionId, long writtenAt) {
    OwnedConnection<A> owned = connections.get(connectionId);
    if (owned != null) {
      owned.server().streamingStarted(now, owned.connection(), writtenAt);
    }
  }

  /**
   * Records the complete answer to the oldest attempt in flight on a connection.
   *
   * @param awaited whether the attempt was still awaited
   * @param unrepeatable as it was passed to {@link #send}
   * @param serverBusy whether the server answered that it is busy; as the first answer on a
   *     connection that may be a refusal of the connection
   */
  public void attemptAnswered(
      long now,
      long connectionId,
      long writtenAt,
      boolean awaited,
      boolean unrepeatable,
      boolean serverBusy) {
    OwnedConnection<A> owned = connections.get(connectionId);
    if (owned != null) {
      owned
          .server()
          .attemptAnswered(now, owned.connection(), writtenAt, awaited, unrepeatable, serverBusy);
    }
  }

  /**
   * Records that all received data has been read.
   *
   * @param incomplete whether it ended within a reply
   */
  public void readCompleted(long now, long connectionId, boolean incomplete) {
    OwnedConnection<A> owned = connections.get(connectionId);
    if (owned != null) {
      owned.server().readCompleted(now, owned.connection(), incomplete);
    }
  }

  /** Stops writing to a connection. */
  public void retireConnection(long connectionId) {
    OwnedConnection<A> owned = connections.get(connectionId);
    if (owned != null) {
      owned.server().retireConnection(owned.connection());
    }
  }

  /**
   * Records that a connection is closing or has ended; nothing more is written there.
   *
   * @param protocolError whether because of invalid data on it
   */
  public void connectionEnding(long connectionId, boolean protocolError) {
    OwnedConnection<A> owned = connections.get(connectionId);
    if (owned != null) {
      owned.connection().retiring |= protocolError;
      markClosing(owned.connection());
    }
  }

  /** Records that a connection has ended, and the attempts on it with it. */
  public void connectionClosed(long now, long connectionId) {
    OwnedConnection<A> owned = connections.remove(connectionId);
    if (owned != null) {
      closingCount -= owned.connection().closing ? 1 : 0;
      owned.server().connectionClosed(now, owned.connection());
      placeStarvedAttempts(now);
      leaving.removeIf(ServerConnections::isDone);
    }
  }

  /**
   * Closes the free connections to a server. One whose answer is still being read is not closed;
   * how long it stays idle depends on how scarce connections are.
   */
  public void closeIdle(long server) {
    ServerConnections<A> connections = servers.get(server);
    if (connections != null) {
      connections.closeIdle();
    }
  }

  /** Closes expired connections, and opens connections ahead of need. */
  public void tick(long now) {
    for (ServerConnections<A> connections : List.copyOf(servers.values())) {
      connections.tick(now);
    }
    retireExcessFree(0);
  }

  /** Returns the number of connections that are open, opening or retiring. */
  public int socketCount() {
    return connections.size() - closingCount;
  }

  // State shared by the servers.

  /** Returns how long a free connection may currently stay idle. */
  long idleTimeNanos() {
    return scarcity.idleTimeNanos(settings.idleTimeoutNanos());
  }

  /** Records whether an attempt was refused a connection or got one. */
  void recordAttempt(boolean refused) {
    scarcity.recordAttempt(refused);
  }

  /** Marks a connection whose close was requested. */
  void markClosing(PooledConnection connection) {
    if (!connection.closing) {
      connection.closing = true;
      closingCount++;
    }
  }

  /** Retries attempts that waited for the limit on opening connections. */
  private void placeStarvedAttempts(long now) {
    if (openingCount < settings.openingTotal()) {
      for (ServerConnections<A> server : List.copyOf(servers.values())) {
        if (server.isStarved()) {
          server.placeWaitingAttempts(now);
        }
      }
    }
  }

  /** Returns whether a socket is available, now or by closing a free connection. */
  boolean isSocketAvailable() {
    return socketCount() < settings.maxSockets() || serverWithMostConnections(null) != null;
  }

  /** Returns whether enough sockets are left to open a connection ahead of need. */
  boolean mayOpenAheadOfNeed() {
    return socketCount() < MAX_SOCKET_SHARE_AHEAD_OF_NEED * settings.maxSockets()
        && openingCount < settings.openingTotal()
        && freeConnections().size() + openingCount < maxFreeConnections();
  }

  /**
   * Allocates a connection from the sockets that all servers share; null if none is available. The
   * limit keeps the node from running out of descriptors, after which it could reach neither
   * clients nor servers. When all are in use, the server with the most connections gives up a free
   * one, so that servers with few are served first (max-min fairness); among equals the connection
   * that has been free longest is closed.
   */
  PooledConnection acquire(long now, ServerConnections<A> server, int generation) {
    if (openingCount >= settings.openingTotal()) {
      return null;
    }
    if (socketCount() >= settings.maxSockets()) {
      ServerConnections<A> richest = serverWithMostConnections(server);
      if (richest == null) {
        return null;
      }
      richest.retireConnection(richest.longestFree());
    }
    retireExcessFree(1);
    openingCount++;
    PooledConnection connection =
        new PooledConnection(
            ++lastConnectionId,
            generation,
            now,
            (long) (settings.idleTimeoutNanos() * (1 - random.getAsDouble() / 5)),
            (long) (settings.maxAgeNanos() * (1 - random.getAsDouble() / 5)));
    connections.put(connection.id, new OwnedConnection<>(server, connection));
    return connection;
  }

  private List<OwnedConnection<A>> freeConnections() {
    List<OwnedConnection<A>> free = new ArrayList<>();
    for (OwnedConnection<A> owned : connections.values()) {
      if (owned.connection().isFree()) {
        free.add(owned);
      }
    }
    return free;
  }

  /** Returns how many free connections this node keeps, at all listed servers together. */
  int maxFreeConnections() {
    return (int) Math.max(1, Math.ceil(settings.freePerServer() * servers.size() - 1e-9));
  }

  /**
   * Retires the free connections beyond this node's share, least recently used first. A server's
   * connections are shared by all nodes, and no node sees the others: if each kept one at each
   * server, then with more nodes than a server accepts connections the last ones would be refused
   * everywhere, even at low load. Which ones a node keeps follows from its own use.
   *
   * @param reserved for how many further connections to leave room
   */
  private void retireExcessFree(int reserved) {
    List<OwnedConnection<A>> free = freeConnections();
    int excess = free.size() + reserved - maxFreeConnections();
    if (excess <= 0) {
      return;
    }
    free.sort((a, b) -> Long.signum(a.connection().lastUsedAt - b.connection().lastUsedAt));
    for (OwnedConnection<A> owned : free.subList(0, excess)) {
      owned.server().retireConnection(owned.connection());
    }
  }

  /** Returns the server with the most connections among those that have a free one. */
  private ServerConnections<A> serverWithMostConnections(ServerConnections<A> excluded) {
    ServerConnections<A> richest = null;
    PooledConnection longestFree = null;
    for (ServerConnections<A> server : servers.values()) {
      PooledConnection freeConnection = server == excluded ? null : server.longestFree();
      if (freeConnection != null
          && (richest == null
              || server.connectionCount() > richest.connectionCount()
              || (server.connectionCount() == richest.connectionCount()
                  && freeConnection.lastUsedAt - longestFree.lastUsedAt < 0))) {
        richest = server;
        longestFree = freeConnection;
      }
    }
    return richest;
  }
}
