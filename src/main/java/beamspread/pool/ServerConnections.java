package beamspread.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The connections to one server, and the attempts that wait for one. */
final class ServerConnections<A> {
  /**
   * If the server has not closed the connection within this time after an answer, no close is
   * expected.
   */
  private static final long SETTLE_TIME_NANOS = 5_000_000L;

  /** A connection that ends without an answer within this time counts as refused. */
  private static final long REFUSAL_WINDOW_NANOS = 50_000_000L;

  /** An answer that takes this many times the usual latency is overdue. */
  private static final int SUSPECT_LATENCY_FACTOR = 6;

  /** Weight of a new answer time in the moving average of the latency. */
  private static final double LATENCY_SAMPLE_WEIGHT = 0.1;

  private record WaitingAttempt<A>(A attempt, boolean unrepeatable) {}

  final long server;
  private final Pools<A> pools;
  private final Map<Long, PooledConnection> connections = new LinkedHashMap<>();
  private final ArrayDeque<WaitingAttempt<A>> waiting = new ArrayDeque<>();

  /** Limits on connections that can still be written to, and on all connections. */
  private final ConnectionLimitEstimate usableLimit;

  private final ConnectionLimitEstimate totalLimit;
  private int addressGeneration;
  private int openingCount;
  private boolean removed;

  /** Start time of the listed server process; connections requested earlier are stale. */
  private long serverStartedAt = Long.MIN_VALUE;

  /** Moving average of the answer latency, 0 while unknown. */
  private double usualLatencyNanos;

  /** When an attempt was last sent to this server, and whether one ever was. */
  private long lastSendAt;

  private boolean everUsed;

  ServerConnections(long server, Pools<A> pools) {
    this.server = server;
    this.pools = pools;
    this.usableLimit = new ConnectionLimitEstimate(pools.settings().connectionsPerServer());
    this.totalLimit = new ConnectionLimitEstimate(pools.settings().maxOpenPerServer());
  }

  // Changes of the server list.

  void serverListed(boolean addressChanged, long startedAt) {
    addressGeneration += addressChanged ? 1 : 0;
    serverStartedAt = Math.max(serverStartedAt, startedAt);
    for (PooledConnection connection : List.copyOf(connections.values())) {
      if (connection.established && isStale(connection)) {
        retireConnection(connection);
      }
    }
  }

  private boolean isStale(PooledConnection connection) {
    return removed
        || connection.generation != addressGeneration
        || (serverStartedAt != Long.MIN_VALUE && connection.requestedAt - serverStartedAt < 0);
  }

  void serverLeft() {
    removed = true;
    failWaitingAttempts();
    for (PooledConnection connection : List.copyOf(connections.values())) {
      if (connection.established) {
        retireConnection(connection);
      }
    }
  }

  /** Applies changed limits to connections opened from now on. */
  void applySettings(PoolSettings settings) {
    usableLimit.setCeiling(settings.connectionsPerServer());
    totalLimit.setCeiling(settings.maxOpenPerServer());
  }

  /** Restores a server that is listed again; connections from before are stale. */
  void serverReturned() {
    removed = false;
    addressGeneration++;
  }

  /** Returns whether the server has left the list and its last connection has ended. */
  boolean isDone() {
    return removed && connections.isEmpty();
  }

  int connectionCount() {
    return connections.size();
  }

  // Attempts.

  /**
   * Writes an attempt to a free connection, the most recently used one so that others become idle.
   * If none is free it opens one more; at the limit it writes to the connection with the fewest
   * attempts in flight.
   */
  void send(long now, A attempt, boolean unrepeatable) {
    lastSendAt = now;
    everUsed = true;
    retireExpired(now);
    placeAttempt(now, new WaitingAttempt<>(attempt, unrepeatable));
    openSpareConnections(now);
  }

  private void placeAttempt(long now, WaitingAttempt<A> waitingAttempt) {
    if (removed) {
      pools.actions().rejectUnreachable(waitingAttempt.attempt());
      return;
    }
    PooledConnection best = null;
    for (PooledConnection connection : connections.values()) {
      if (connection.isWritable(pools.settings().multiplexingDepth())
          && (best == null || isBetter(now, connection, best, waitingAttempt))) {
        best = connection;
      }
    }
    if (best != null && best.inFlight == 0) {
      write(now, best, waitingAttempt);
      return;
    }
    if (waiting.size() < countFreeAfterRead()) {
      waiting.add(waitingAttempt);
      return;
    }
    if (mayOpenConnection(now) && (openingCount > waiting.size() || openConnection(now))) {
      waiting.add(waitingAttempt);
      return;
    }
    if (best != null) {
      write(now, best, waitingAttempt);
    } else if (countUsable(now) + openingCount > 0) {
      waiting.add(waitingAttempt);
    } else if (!pools.isSocketAvailable()) {
      // No connection exists, and no socket is available.
      pools.actions().rejectUnreachable(waitingAttempt.attempt());
    } else if (countStreaming() > 0) {
      pools.actions().rejectFull(waitingAttempt.attempt());
    } else {
      waiting.add(waitingAttempt);
    }
  }

  private int countFreeAfterRead() {
    int count = 0;
    for (PooledConnection connection : connections.values()) {
      count += connection.isFreeAfterRead() ? 1 : 0;
    }
    return count;
  }

  /**
   * Returns whether an attempt is better written to one connection than to another: first one
   * without an overdue answer, then the one with fewer attempts in flight, then one without an
   * unrepeatable attempt, then the most recently used one that has been idle for the settle time.
   * The settle time covers servers that close a connection right after an answer: an attempt
   * written before that close is seen ends in a reset, and may have run.
   */
  private boolean isBetter(
      long now,
      PooledConnection connection,
      PooledConnection other,
      WaitingAttempt<A> waitingAttempt) {
    boolean suspect = isSuspect(now, connection);
    if (suspect != isSuspect(now, other)) {
      return !suspect;
    }
    if (connection.inFlight != other.inFlight) {
      return connection.inFlight < other.inFlight;
    }
    if (!waitingAttempt.unrepeatable()
        && connection.unrepeatableInFlight != other.unrepeatableInFlight) {
      return connection.unrepeatableInFlight < other.unrepeatableInFlight;
    }
    boolean settled = now - connection.lastUsedAt > SETTLE_TIME_NANOS;
    return settled == (now - other.lastUsedAt > SETTLE_TIME_NANOS)
        ? connection.lastUsedAt - other.lastUsedAt > 0
        : settled;
  }

  /** Returns whether an answer is so overdue that nothing more should wait behind it. */
  private boolean isSuspect(long now, PooledConnection connection) {
    return connection.hasWaitedLongerThan(
        now,
        Math.max(
            pools.settings().suspectAfterNanos(),
            (long) (SUSPECT_LATENCY_FACTOR * usualLatencyNanos)));
  }

  private void write(long now, PooledConnection connection, WaitingAttempt<A> waitingAttempt) {
    if (!pools.actions().write(connection.id, waitingAttempt.attempt())) {
      return;
    }
    if (connection.inFlight == 0) {
      connection.waitingSince = now;
    }
    connection.inFlight++;
    connection.awaitedInFlight++;
    connection.unrepeatableInFlight += waitingAttempt.unrepeatable() ? 1 : 0;
    connection.lastUsedAt = now;
  }

  /** Withdraws a waiting attempt; returns whether it was waiting here. */
  boolean withdrawWaiting(A attempt) {
    return waiting.removeIf(waitingAttempt -> waitingAttempt.attempt() == attempt);
  }

  /**
   * Records that a written attempt is no longer awaited. Closing the connection would also break
   * the other attempts on it, so while there are any its answer is read and dropped.
   *
   * @param overdue whether its time ran out
   */
  void attemptAbandoned(PooledConnection connection, long writtenAt, boolean overdue) {
    connection.awaitedInFlight--;
    boolean silent = connection.lastReadAt - writtenAt < 0;
    // The abandoned attempt may never be answered, so nothing more is written behind it. Where
    // others are awaited and answers still arrive, its answer will come too; retiring that
    // connection would cost one more connection at a server with a small limit, just when it is
    // slow.
    if (connection.awaitedInFlight == 0 || silent) {
      retireConnection(connection);
    }
    if (overdue && silent) {
      retireIfAllSilent(writtenAt);
    }
  }

  // Connections.

  /**
   * Counts the connections that may be written to, now or soon. Retiring ones do not count, nor do
   * those with an overdue or stalled answer or an answer streamed at the pace of a slow client, so
   * that they do not keep other attempts from the server.
   */
  private int countUsable(long now) {
    int count = 0;
    for (PooledConnection connection : connections.values()) {
      count +=
          connection.isUsable()
                  && !connection.streaming
                  && !connection.stalled
                  && !isSuspect(now, connection)
              ? 1
              : 0;
    }
    return count;
  }

  private boolean mayOpenConnection(long now) {
    int maxUsable = usableLimit.maxConnections(now);
    // Once the server has shown its limit, retiring connections count in full. A connection that
    // streams an answer may do so for seconds, and nothing is written behind it.
    int maxOpen =
        maxUsable
            + (usableLimit.isKnown() ? 0 : pools.settings().extraWhileRetiring())
            + extraForStreaming();
    return countUsable(now) + openingCount < maxUsable
        && connections.size() < Math.min(maxOpen, totalLimit.maxConnections(now))
        && openingCount < pools.settings().openingPerServer()
        && !removed;
  }

  private int countStreaming() {
    int count = 0;
    for (PooledConnection connection : connections.values()) {
      count += connection.streaming ? 1 : 0;
    }
    return count;
  }

  /** Returns how many extra connections may be open because of streamed answers. */
  private int extraForStreaming() {
    return Math.min(countStreaming(), pools.settings().extraWhileStreaming());
  }

  private void recordRefusal(long now, int workingConnections) {
    usableLimit.recordRefusal(now, workingConnections);
    totalLimit.recordRefusal(now, workingConnections);
  }

  /**
   * Records a refusal after the connection was established. It shows a limit only if another
   * connection has been answered.
   */
  private void recordRefusalIfOthersWork(long now, int workingConnections) {
    if (connections.values().stream()
        .anyMatch(connection -> connection.everAnswered && connection.isUsable())) {
      recordRefusal(now, workingConnections);
    }
  }

  /** Opens a connection; returns false if no socket is available. */
  private boolean openConnection(long now) {
    PooledConnection connection = pools.acquire(now, this, addressGeneration);
    if (connection == null) {
      return false;
    }
    connections.put(connection.id, connection);
    openingCount++;
    pools.actions().open(server, connection.id);
    return true;
  }

  /** Keeps spare connections ready if the server is in use and not cold. */
  private void openSpareConnections(long now) {
    if (pools.settings().spareConnections() == 0
        || removed
        || isCold(now)
        || !everUsed
        || now - lastSendAt > pools.settings().idleTimeoutNanos()) {
      return;
    }
    int free = openingCount - waiting.size();
    for (PooledConnection connection : connections.values()) {
      free += connection.isFree() || connection.isFreeAfterRead() ? 1 : 0;
    }
    for (;
        free < pools.settings().spareConnections()
            && mayOpenConnection(now)
            && pools.mayOpenAheadOfNeed();
        free++) {
      if (!openConnection(now)) {
        return;
      }
    }
  }

  private boolean isCold(long now) {
    return serverStartedAt != Long.MIN_VALUE
        && now - serverStartedAt < pools.settings().coldPeriodNanos();
  }

  void connectionOpened(long now, PooledConnection connection) {
    openingCount--;
    connection.established = true;
    connection.openedAt = now;
    connection.lastReadAt = now;
    connection.lastUsedAt = now;
    usableLimit.recordOpened(now, connections.size() - openingCount);
    totalLimit.recordOpened(now, connections.size() - openingCount);
    if (isStale(connection)) {
      // The list changed while it opened: the address may belong to another process by now.
      retireConnection(connection);
    } else {
      writeWaitingAttempts(now, connection);
    }
  }

  /**
   * Handles a connection that could not be opened. A refusal while others work may show the
   * server's limit; waiting attempts then use those connections, since failing them would mark the
   * server as down. A timeout while the other connections are silent indicates a machine that has
   * vanished.
   */
  void connectionFailed(long now, PooledConnection connection, boolean timedOut) {
    openingCount--;
    connections.remove(connection.id);
    if (timedOut) {
      retireIfAllSilent(connection.requestedAt);
    }
    if (countStreaming() > 0
        || connections.values().stream()
            .anyMatch(other -> other.isWritable(pools.settings().multiplexingDepth()))) {
      recordRefusal(now, connections.size() - openingCount);
      placeWaitingAttempts(now);
    } else if (openingCount == 0) {
      pools.recordAttempt(!timedOut);
      failWaitingAttempts();
    }
  }

  /** Fails all attempts that wait for a connection here. */
  void failWaitingAttempts() {
    List<WaitingAttempt<A>> failed = List.copyOf(waiting);
    waiting.clear();
    failed.forEach(waitingAttempt -> pools.actions().rejectUnreachable(waitingAttempt.attempt()));
  }

  /** Returns whether attempts wait although no connection is opening. */
  boolean isStarved() {
    return !waiting.isEmpty() && openingCount == 0;
  }

  /** Places all waiting attempts again; some may have to wait once more. */
  void placeWaitingAttempts(long now) {
    for (int i = waiting.size(); i > 0 && !waiting.isEmpty(); i--) {
      placeAttempt(now, waiting.poll());
    }
  }

  /** Records received data; more may follow before {@link #readCompleted}. */
  void dataReceived(long now, PooledConnection connection) {
    connection.reading = true;
    connection.stalled = false;
    connection.lastReadAt = now;
  }

  /** Records that an answer on a connection has begun and makes no progress. */
  void answerStalled(PooledConnection connection) {
    connection.stalled = true;
  }

  /** Records the head of the answer to the oldest attempt on a connection. */
  void streamingStarted(long now, PooledConnection connection, long writtenAt) {
    connection.streaming = true;
    recordLatency(now - writtenAt);
  }

  private void recordLatency(double latencyNanos) {
    usualLatencyNanos =
        usualLatencyNanos == 0
            ? latencyNanos
            : usualLatencyNanos + LATENCY_SAMPLE_WEIGHT * (latencyNanos - usualLatencyNanos);
  }

  /** Records the answer to the oldest attempt on a connection. */
  void attemptAnswered(
      long now,
      PooledConnection connection,
      long writtenAt,
      boolean awaited,
      boolean unrepeatable,
      boolean serverBusy) {
    connection.inFlight--;
    connection.awaitedInFlight -= awaited ? 1 : 0;
    connection.unrepeatableInFlight -= unrepeatable ? 1 : 0;
    connection.lastUsedAt = now;
    connection.waitingSince = now;
    handleFirstAnswer(now, connection, serverBusy);
    if (connection.retiring) {
      retireConnection(connection);
    }
    if (!connection.streaming) {
      recordLatency(now - writtenAt);
    }
    connection.streaming = false;
  }

  /**
   * Evaluates the first answer on a connection. A server at its limit may accept a connection and
   * then answer busy on it; that connection would get no other answer for as long as it is open, so
   * it is retired and counts as refused.
   */
  private void handleFirstAnswer(long now, PooledConnection connection, boolean serverBusy) {
    boolean refusedOnOpen = serverBusy && !connection.everAnswered;
    pools.recordAttempt(refusedOnOpen);
    if (!refusedOnOpen) {
      connection.everAnswered = true;
      return;
    }
    connection.retiring = true;
    recordRefusalIfOthersWork(now, connections.size() - openingCount - 1);
  }

  /** Records that all received data was read; only now may the connection be used again. */
  void readCompleted(long now, PooledConnection connection, boolean incomplete) {
    connection.reading = false;
    if (incomplete) {
      connection.lastReadAt = now;
    } else if (connection.isUsable()) {
      writeWaitingAttempts(now, connection);
    }
  }

  /**
   * Writes waiting attempts to a connection, oldest first: one if other connections are opening,
   * otherwise as many as the multiplexing depth allows.
   */
  private void writeWaitingAttempts(long now, PooledConnection connection) {
    int maxInFlight = openingCount > 0 ? 1 : pools.settings().multiplexingDepth();
    while (!waiting.isEmpty() && connection.isWritable(maxInFlight)) {
      write(now, connection, waiting.poll());
    }
  }

  void connectionClosed(long now, PooledConnection connection) {
    connections.remove(connection.id);
    boolean refused =
        connection.established
            && !connection.everAnswered
            && !connection.retiring
            && now - connection.openedAt < REFUSAL_WINDOW_NANOS;
    if (refused) {
      recordRefusalIfOthersWork(now, connections.size() - openingCount);
    }
    placeWaitingAttempts(now);
  }

  /** Stops writing to a connection, and closes it once no attempt on it is awaited. */
  void retireConnection(PooledConnection connection) {
    connection.retiring = true;
    if (connection.awaitedInFlight == 0 && !connection.closing) {
      pools.markClosing(connection);
      pools.actions().close(connection.id);
    }
  }

  /**
   * Retires all connections if nothing was received from this server since the given time although
   * an answer was due. Connections to a machine that has vanished stay open and silent; without
   * them the next attempt opens a new one, and its connect timeout shows the failure.
   */
  private void retireIfAllSilent(long since) {
    List<PooledConnection> established = new ArrayList<>();
    for (PooledConnection connection : connections.values()) {
      if (connection.established && connection.lastReadAt - since > 0) {
        return;
      }
      if (connection.established) {
        established.add(connection);
      }
    }
    established.forEach(this::retireConnection);
  }

  /** Returns the connection that has been free longest, null if none is free. */
  PooledConnection longestFree() {
    PooledConnection longestFree = null;
    for (PooledConnection connection : connections.values()) {
      if (connection.isFree()
          && (longestFree == null || connection.lastUsedAt - longestFree.lastUsedAt < 0)) {
        longestFree = connection;
      }
    }
    return longestFree;
  }

  private void retireExpired(long now) {
    int excess =
        connections.size()
            - pools.settings().connectionsPerServer()
            - pools.settings().extraWhileRetiring()
            - extraForStreaming();
    // Iterates without a copy because this runs at each send; the end of a connection is reported
    // later.
    long idleTimeNanos = pools.idleTimeNanos();
    for (PooledConnection connection : connections.values()) {
      if (connection.isFree() && (connection.isExpired(now, idleTimeNanos) || excess > 0)) {
        retireConnection(connection);
        excess--;
      }
    }
  }

  /** Closes expired connections, and keeps spare ones ready. */
  void tick(long now) {
    retireExpired(now);
    if (isStarved()) {
      placeWaitingAttempts(now);
    }
    openSpareConnections(now);
  }

  void closeIdle() {
    for (PooledConnection connection : List.copyOf(connections.values())) {
      if (connection.isFree()) {
        retireConnection(connection);
      }
    }
  }
}
