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
 * What pools stand among: servers with limits that they do not tell, and connections that come up,
 * break and close. Carries out each decision and checks it against what must always hold.
 */
final class World implements PoolActions<World.Try> {
  static final long MS = 1_000_000L;

  /** An attempt and where it stands. */
  static final class Try {
    final long server;
    final boolean guarded;
    Conn on;
    long writtenAt;
    boolean abandoned;
    String end;

    Try(long server, boolean guarded) {
      this.server = server;
      this.guarded = guarded;
    }

    void end(String how) {
      if (end != null) {
        throw new AssertionError("ended twice: " + end + ", " + how);
      }
      end = how;
    }
  }

  /** A connection as the socket sees it. */
  static final class Conn {
    final long id;
    final long server;
    final ArrayDeque<Try> out = new ArrayDeque<>();
    boolean up;
    boolean closing;

    /** Whether the answer to the oldest attempt comes in parts. */
    boolean streams;

    long usedAt;
    long openedAt;

    Conn(long id, long server) {
      this.id = id;
      this.server = server;
    }
  }

  final Pools<Try> pools;
  final PoolSettings settings;
  final Map<Long, Conn> conns = new LinkedHashMap<>();
  final Map<Long, Integer> limits = new HashMap<>();
  final Set<Try> open = new LinkedHashSet<>();
  final List<Try> waiting = new ArrayList<>();
  final List<Conn> toOpen = new ArrayList<>();
  long now = 1_000_000 * MS;
  int handshakes;
  int refused;
  int mostSockets;

  World(PoolSettings settings, Random random) {
    this.settings = settings;
    pools = new Pools<>(settings, random::nextDouble, this);
  }

  static PoolSettings settings(int connections, int sockets, int spare) {
    return settings(connections, sockets, spare, connections);
  }

  static PoolSettings settings(int connections, int sockets, int spare, double freeEach) {
    return new PoolSettings(
        connections,
        2,
        connections,
        4,
        sockets,
        4,
        8,
        spare,
        freeEach,
        5000 * MS,
        0,
        400 * MS,
        2000 * MS);
  }

  private static void check(boolean holds, String what) {
    if (!holds) {
      throw new AssertionError(what);
    }
  }

  // What the pools decide.

  @Override
  public void open(long server, long link) {
    Conn conn = new Conn(link, server);
    check(conns.put(link, conn) == null, "a connection's number is used twice");
    toOpen.add(conn);
    long sockets = conns.values().stream().filter(one -> !one.closing).count();
    mostSockets = (int) Math.max(mostSockets, sockets);
    check(sockets <= settings.sockets(), "more sockets than there are");
    long coming = conns.values().stream().filter(one -> !one.up).count();
    check(coming <= settings.openingAll(), "too many come up");
    check(
        conns.values().stream().filter(one -> !one.up && one.server == server).count()
            <= settings.openingEach(),
        "too many come up at one server");
  }

  @Override
  public boolean write(long link, Try attempt) {
    Conn conn = conns.get(link);
    check(conn != null && conn.up && !conn.closing, "written to what is not open");
    check(conn.server == attempt.server, "written to another server");
    check(!conn.streams, "written behind an answer that comes in parts");
    check(conn.out.size() < settings.depth(), "more on a connection than it may have");
    check(
        !conn.out.isEmpty() || now - conn.usedAt < settings.idleNanos(),
        "written to a connection past its idle time");
    check(attempt.on == null, "written twice");
    attempt.on = conn;
    attempt.writtenAt = now;
    waiting.remove(attempt);
    conn.out.add(attempt);
    conn.usedAt = now;
    return true;
  }

  @Override
  public void close(long link) {
    Conn conn = conns.get(link);
    check(conn != null && !conn.closing, "closed twice");
    check(conn.out.stream().allMatch(one -> one.abandoned), "closed on somebody who waits");
    conn.closing = true;
  }

  @Override
  public void unreachable(Try attempt) {
    check(attempt.on == null, "unreachable after it was written");
    waiting.remove(attempt);
    open.remove(attempt);
    attempt.end("unreachable");
  }

  @Override
  public void full(Try attempt) {
    check(attempt.on == null, "turned away after it was written");
    check(
        conns.values().stream().anyMatch(one -> one.server == attempt.server && one.streams),
        "turned away though nothing comes in parts");
    waiting.remove(attempt);
    open.remove(attempt);
    attempt.end("full");
  }

  // What happens.

  Try send(long server, boolean guarded) {
    Try attempt = new Try(server, guarded);
    open.add(attempt);
    waiting.add(attempt);
    pools.send(now, server, attempt, guarded);
    return attempt;
  }

  /** A connection that is coming up does, or not if the server takes no more. */
  void comesUp(Conn conn) {
    toOpen.remove(conn);
    int taken =
        (int) conns.values().stream().filter(one -> one.server == conn.server && one.up).count();
    handshakes++;
    if (taken >= limits.getOrDefault(conn.server, Integer.MAX_VALUE)) {
      refused++;
      fails(conn, false);
    } else {
      conn.up = true;
      conn.usedAt = now;
      conn.openedAt = now;
      pools.opened(now, conn.id);
    }
  }

  void fails(Conn conn, boolean silent) {
    toOpen.remove(conn);
    conns.remove(conn.id);
    pools.notOpened(now, conn.id, silent);
  }

  /** The head of an answer comes that comes in parts. */
  void begins(Conn conn) {
    conn.streams = true;
    pools.heard(now, conn.id);
    pools.begun(now, conn.id, conn.out.peek().writtenAt);
    pools.readDone(now, conn.id, true);
  }

  void answers(Conn conn) {
    answers(conn, false);
  }

  /** The server says that it takes no more. */
  void turnsAway(Conn conn) {
    answers(conn, true);
  }

  private void answers(Conn conn, boolean turnedAway) {
    Try attempt = conn.out.poll();
    conn.streams = false;
    pools.heard(now, conn.id);
    pools.answered(
        now, conn.id, attempt.writtenAt, !attempt.abandoned, attempt.guarded, turnedAway);
    conn.usedAt = now;
    if (!attempt.abandoned) {
      open.remove(attempt);
      attempt.end("answered");
    }
    pools.readDone(now, conn.id, false);
  }

  void breaks(Conn conn) {
    conns.remove(conn.id);
    conn.up = false;
    pools.ending(conn.id, false);
    for (Try attempt : conn.out) {
      if (!attempt.abandoned) {
        open.remove(attempt);
        attempt.end("reset");
      }
    }
    pools.closed(now, conn.id);
  }

  /** An attempt's time runs out. */
  void timesOut(Try attempt) {
    open.remove(attempt);
    attempt.end("timed out");
    if (attempt.on == null) {
      waiting.remove(attempt);
      pools.forget(attempt.server, attempt);
    } else {
      attempt.abandoned = true;
      pools.abandoned(attempt.on.id, attempt.writtenAt, true);
    }
  }

  /** All that was told to close has closed. */
  void reap() {
    for (Conn conn : List.copyOf(conns.values())) {
      if (conn.closing) {
        breaks(conn);
      }
    }
  }

  List<Conn> up() {
    return conns.values().stream().filter(one -> one.up && !one.closing).toList();
  }

  long up(long server) {
    return conns.values().stream().filter(one -> one.up && one.server == server).count();
  }
}
