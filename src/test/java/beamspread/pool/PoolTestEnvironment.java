package beamspread.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Simulates servers with hidden connection limits, and connections that open, break and close.
 * Carries out each action of the pools and checks their invariants.
 */
final class PoolTestEnvironment implements PoolActions<PoolTestEnvironment.TestAttempt> {
  static final long MS = 1_000_000L;

  /** An attempt and its state. */
  static final class TestAttempt {
    final long server;
    final boolean unrepeatable;
    TestConnection connection;
    long writtenAt;
    boolean abandoned;
    String outcome;

    TestAttempt(long server, boolean unrepeatable) {
      this.server = server;
      this.unrepeatable = unrepeatable;
    }

    void settle(String newOutcome) {
      if (outcome != null) {
        throw new AssertionError("ended twice: " + outcome + ", " + newOutcome);
      }
      outcome = newOutcome;
    }
  }

  /** A connection as the socket sees it. */
  static final class TestConnection {
    final long id;
    final long server;
    final ArrayDeque<TestAttempt> inFlight = new ArrayDeque<>();
    boolean established;
    boolean closing;

    /** Whether the answer to the oldest attempt is being streamed. */
    boolean streaming;

    long lastUsedAt;
    long openedAt;

    TestConnection(long id, long server) {
      this.id = id;
      this.server = server;
    }
  }

  final Pools<TestAttempt> pools;
  final PoolSettings settings;
  final Map<Long, TestConnection> connections = new LinkedHashMap<>();
  final Map<Long, Integer> connectionLimits = new HashMap<>();
  final Set<TestAttempt> openAttempts = new LinkedHashSet<>();
  final List<TestAttempt> waitingAttempts = new ArrayList<>();
  final List<TestConnection> openingConnections = new ArrayList<>();
  long now = 1_000_000 * MS;
  int handshakes;
  int refusedHandshakes;
  int maxSocketsSeen;

  PoolTestEnvironment(PoolSettings settings, Random random) {
    this.settings = settings;
    pools = new Pools<>(settings, random::nextDouble, this);
  }

  static PoolSettings settings(int connectionsPerServer, int maxSockets, int spareConnections) {
    return settings(connectionsPerServer, maxSockets, spareConnections, connectionsPerServer);
  }

  static PoolSettings settings(
      int connectionsPerServer, int maxSockets, int spareConnections, double freePerServer) {
    return new PoolSettings(
        connectionsPerServer,
        2,
        connectionsPerServer,
        4,
        maxSockets,
        4,
        8,
        spareConnections,
        freePerServer,
        5000 * MS,
        0,
        400 * MS,
        2000 * MS);
  }

  private static void check(boolean condition, String message) {
    if (!condition) {
      throw new AssertionError(message);
    }
  }

  // Actions of the pools.

  @Override
  public void open(long server, long connectionId) {
    TestConnection connection = new TestConnection(connectionId, server);
    check(connections.put(connectionId, connection) == null, "connection id used twice");
    openingConnections.add(connection);
    long sockets = connections.values().stream().filter(other -> !other.closing).count();
    maxSocketsSeen = (int) Math.max(maxSocketsSeen, sockets);
    check(sockets <= settings.maxSockets(), "more sockets than allowed");
    long openingCount = connections.values().stream().filter(other -> !other.established).count();
    check(openingCount <= settings.openingTotal(), "too many connections opening");
    check(
        connections.values().stream()
                .filter(other -> !other.established && other.server == server)
                .count()
            <= settings.openingPerServer(),
        "too many connections opening at one server");
  }

  @Override
  public boolean write(long connectionId, TestAttempt attempt) {
    TestConnection connection = connections.get(connectionId);
    check(
        connection != null && connection.established && !connection.closing,
        "written to a connection that is not open");
    check(connection.server == attempt.server, "written to another server");
    check(!connection.streaming, "written behind a streamed answer");
    check(
        connection.inFlight.size() < settings.multiplexingDepth(),
        "more attempts on a connection than its multiplexing depth");
    check(
        !connection.inFlight.isEmpty() || now - connection.lastUsedAt < settings.idleTimeoutNanos(),
        "written to a connection past its idle time");
    check(attempt.connection == null, "written twice");
    attempt.connection = connection;
    attempt.writtenAt = now;
    waitingAttempts.remove(attempt);
    connection.inFlight.add(attempt);
    connection.lastUsedAt = now;
    return true;
  }

  @Override
  public void close(long connectionId) {
    TestConnection connection = connections.get(connectionId);
    check(connection != null && !connection.closing, "closed twice");
    check(
        connection.inFlight.stream().allMatch(attempt -> attempt.abandoned),
        "closed with an awaited attempt in flight");
    connection.closing = true;
  }

  @Override
  public void rejectUnreachable(TestAttempt attempt) {
    check(attempt.connection == null, "rejected as unreachable after it was written");
    waitingAttempts.remove(attempt);
    openAttempts.remove(attempt);
    attempt.settle("unreachable");
  }

  @Override
  public void rejectFull(TestAttempt attempt) {
    check(attempt.connection == null, "rejected as full after it was written");
    check(
        connections.values().stream()
            .anyMatch(connection -> connection.server == attempt.server && connection.streaming),
        "rejected as full without a streamed answer");
    waitingAttempts.remove(attempt);
    openAttempts.remove(attempt);
    attempt.settle("full");
  }

  // Events.

  TestAttempt send(long server, boolean unrepeatable) {
    TestAttempt attempt = new TestAttempt(server, unrepeatable);
    openAttempts.add(attempt);
    waitingAttempts.add(attempt);
    pools.send(now, server, attempt, unrepeatable);
    return attempt;
  }

  /** Establishes an opening connection, or refuses it if the server is at its limit. */
  void completeOpening(TestConnection connection) {
    openingConnections.remove(connection);
    int establishedCount =
        (int)
            connections.values().stream()
                .filter(other -> other.server == connection.server && other.established)
                .count();
    handshakes++;
    if (establishedCount >= connectionLimits.getOrDefault(connection.server, Integer.MAX_VALUE)) {
      refusedHandshakes++;
      failOpening(connection, false);
    } else {
      connection.established = true;
      connection.lastUsedAt = now;
      connection.openedAt = now;
      pools.connectionOpened(now, connection.id);
    }
  }

  void failOpening(TestConnection connection, boolean timedOut) {
    openingConnections.remove(connection);
    connections.remove(connection.id);
    pools.connectionFailed(now, connection.id, timedOut);
  }

  /** Delivers the head of a streamed answer. */
  void startStreaming(TestConnection connection) {
    connection.streaming = true;
    pools.dataReceived(now, connection.id);
    pools.streamingStarted(now, connection.id, connection.inFlight.peek().writtenAt);
    pools.readCompleted(now, connection.id, true);
  }

  void answerOldest(TestConnection connection) {
    answerOldest(connection, false);
  }

  /** Answers the oldest attempt with busy. */
  void answerBusy(TestConnection connection) {
    answerOldest(connection, true);
  }

  private void answerOldest(TestConnection connection, boolean serverBusy) {
    TestAttempt attempt = connection.inFlight.poll();
    connection.streaming = false;
    pools.dataReceived(now, connection.id);
    pools.attemptAnswered(
        now,
        connection.id,
        attempt.writtenAt,
        !attempt.abandoned,
        attempt.unrepeatable,
        serverBusy);
    connection.lastUsedAt = now;
    if (!attempt.abandoned) {
      openAttempts.remove(attempt);
      attempt.settle("answered");
    }
    pools.readCompleted(now, connection.id, false);
  }

  void breakConnection(TestConnection connection) {
    connections.remove(connection.id);
    connection.established = false;
    pools.connectionEnding(connection.id, false);
    for (TestAttempt attempt : connection.inFlight) {
      if (!attempt.abandoned) {
        openAttempts.remove(attempt);
        attempt.settle("reset");
      }
    }
    pools.connectionClosed(now, connection.id);
  }

  /** Lets an attempt time out. */
  void timeOut(TestAttempt attempt) {
    openAttempts.remove(attempt);
    attempt.settle("timed out");
    if (attempt.connection == null) {
      waitingAttempts.remove(attempt);
      pools.withdrawWaiting(attempt.server, attempt);
    } else {
      attempt.abandoned = true;
      pools.attemptAbandoned(attempt.connection.id, attempt.writtenAt, true);
    }
  }

  /** Ends all connections whose close was requested. */
  void reapClosing() {
    for (TestConnection connection : List.copyOf(connections.values())) {
      if (connection.closing) {
        breakConnection(connection);
      }
    }
  }

  List<TestConnection> established() {
    return connections.values().stream()
        .filter(connection -> connection.established && !connection.closing)
        .toList();
  }

  long established(long server) {
    return connections.values().stream()
        .filter(connection -> connection.established && connection.server == server)
        .count();
  }
}
