package beamspread.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * The connections of one node to all its cache servers. Not for more than one thread. Times are
 * nanoseconds of one clock that never runs backwards.
 *
 * @param <A> an attempt; known by identity
 */
public final class Pools<A> {
  /** The part of the sockets that connections ahead of need leave free for what has come. */
  private static final double AHEAD_PART = 0.8;

  private PoolSettings settings;
  private final DoubleSupplier random;
  private final PoolActions<A> actions;
  private final Map<Long, ServerLinks<A>> servers = new HashMap<>();

  /** Those whose server has left, until their last connection has ended. */
  private final List<ServerLinks<A>> leaving = new ArrayList<>();

  /** Each connection and its owner. */
  private final Map<Long, Owned<A>> links = new HashMap<>();

  private final Crowding crowding = new Crowding();
  private long lastLink;
  private int opening;

  /** Connections that were told to close and whose end is not told yet: their sockets are free. */
  private int closing;

  private record Owned<A>(ServerLinks<A> server, Link link) {}

  /**
   * @param random numbers from 0 to 1, by which connections end at different times
   * @throws IllegalArgumentException if the settings make no sense
   */
  public Pools(PoolSettings settings, DoubleSupplier random, PoolActions<A> actions) {
    if (!settings.faults().isEmpty()) {
      throw new IllegalArgumentException(String.join("; ", settings.faults()));
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
   * Goes on by other settings. What is open beyond them ends as it falls free.
   *
   * @throws IllegalArgumentException if they make no sense
   */
  public void use(PoolSettings changed) {
    if (!changed.faults().isEmpty()) {
      throw new IllegalArgumentException(String.join("; ", changed.faults()));
    }
    settings = changed;
    servers.values().forEach(server -> server.ceiling(changed));
  }

  // What the list says.

  /**
   * The list has a server.
   *
   * @param moved whether it is at another address than before
   * @param startedAt when its process started; {@link Long#MIN_VALUE} for long ago
   */
  public void listed(long server, boolean moved, long startedAt) {
    servers.computeIfAbsent(server, this::comesBack).listed(moved, startedAt);
  }

  /** One that left and comes back goes on with what is left of it, so that its bounds hold. */
  private ServerLinks<A> comesBack(long server) {
    for (ServerLinks<A> gone : leaving) {
      if (gone.server == server) {
        leaving.remove(gone);
        gone.comeBack();
        return gone;
      }
    }
    return new ServerLinks<>(server, this);
  }

  /**
   * A server drains. Guards against an attempt that was decided before and waits for a connection
   * for longer than the grace: a send counts from its first byte.
   */
  public void drains(long server) {
    ServerLinks<A> links = servers.get(server);
    if (links != null) {
      links.failWaiting();
    }
  }

  /** A server has left: what is under way may end, and nothing new begins. */
  public void left(long server) {
    ServerLinks<A> gone = servers.remove(server);
    if (gone != null) {
      leaving.add(gone);
      gone.leave();
      leaving.removeIf(ServerLinks::gone);
    }
  }

  // Attempts.

  /**
   * Finds a connection for an attempt.
   *
   * @param guarded whether it must not be lost with others on its connection: it can't be repeated
   */
  public void send(long now, long server, A attempt, boolean guarded) {
    ServerLinks<A> links = servers.get(server);
    if (links == null) {
      actions.unreachable(attempt);
    } else {
      links.send(now, attempt, guarded);
    }
  }

  /** Takes back an attempt that has not been written. */
  public void forget(long server, A attempt) {
    ServerLinks<A> links = servers.get(server);
    if (links != null) {
      links.forget(attempt);
    }
  }

  /** Nobody waits any more for an attempt that is under way on a connection. */
  public void abandoned(long link, long writtenAt, boolean overdue) {
    Owned<A> owned = links.get(link);
    if (owned != null) {
      owned.server().abandoned(owned.link(), writtenAt, overdue);
    }
  }

  // Connections.

  /** A connection is up. */
  public void opened(long now, long link) {
    Owned<A> owned = links.get(link);
    opening--;
    owned.server().opened(now, owned.link());
    feedStarved(now);
  }

  /**
   * A connection did not come up.
   *
   * @param silent whether nothing came back at all
   */
  public void notOpened(long now, long link, boolean silent) {
    Owned<A> owned = links.remove(link);
    opening--;
    owned.server().notOpened(now, owned.link(), silent);
    feedStarved(now);
    leaving.removeIf(ServerLinks::gone);
  }

  /** Something has come on a connection. */
  public void heard(long now, long link) {
    Owned<A> owned = links.get(link);
    if (owned != null) {
      owned.server().heard(now, owned.link());
    }
  }

  /**
   * The attempt that was under way longest on a connection has the head of its answer; the rest
   * comes in parts, until {@code answered}. Nothing more is written behind it.
   */
  public void begun(long now, long link, long writtenAt) {
    Owned<A> owned = links.get(link);
    if (owned != null) {
      owned.server().begun(now, owned.link(), writtenAt);
    }
  }

  /**
   * The attempt that was under way longest on a connection has its answer.
   *
   * @param awaited whether somebody waited for it
   * @param guarded as it was sent
   * @param turnedAway whether the server takes no more; said first on a connection, it may mean
   *     that
   */
  public void answered(
      long now, long link, long writtenAt, boolean awaited, boolean guarded, boolean turnedAway) {
    Owned<A> owned = links.get(link);
    if (owned != null) {
      owned.server().answered(now, owned.link(), writtenAt, awaited, guarded, turnedAway);
    }
  }

  /**
   * All that had come on a connection is read.
   *
   * @param midway whether it ended within a reply
   */
  public void readDone(long now, long link, boolean midway) {
    Owned<A> owned = links.get(link);
    if (owned != null) {
      owned.server().readDone(now, owned.link(), midway);
    }
  }

  /** Nothing more is to be written to a connection. */
  public void retire(long link) {
    Owned<A> owned = links.get(link);
    if (owned != null) {
      owned.server().retire(owned.link());
    }
  }

  /**
   * A connection is being closed, or has ended: nothing more goes there.
   *
   * @param spoilt whether for what came on it
   */
  public void ending(long link, boolean spoilt) {
    Owned<A> owned = links.get(link);
    if (owned != null) {
      owned.link().retiring |= spoilt;
      closing(owned.link());
    }
  }

  /** A connection has ended, and the attempts on it with it. */
  public void closed(long now, long link) {
    Owned<A> owned = links.remove(link);
    if (owned != null) {
      closing -= owned.link().closing ? 1 : 0;
      owned.server().closed(now, owned.link());
      feedStarved(now);
      leaving.removeIf(ServerLinks::gone);
    }
  }

  /**
   * Closes the connections to a server on which nothing is under way. One whose answer is still
   * being read is not among them: how long that rests is told by how scarce connections are.
   */
  public void closeIdle(long server) {
    ServerLinks<A> links = servers.get(server);
    if (links != null) {
      links.closeIdle();
    }
  }

  /** Time has passed: closes what has outlived it, opens ahead of need. */
  public void tick(long now) {
    for (ServerLinks<A> links : List.copyOf(servers.values())) {
      links.tick(now);
    }
    keepFew(0);
  }

  /** Connections that are open, coming up, or being given up. */
  public int sockets() {
    return links.size() - closing;
  }

  // What the servers' pools share.

  /** How long a free connection may rest here by now. */
  long restNanos() {
    return crowding.restNanos(settings.idleNanos());
  }

  /** An attempt has found a connection, or has come to be turned down. */
  void seen(boolean refused) {
    crowding.seen(refused);
  }

  /** A connection was told to close. */
  void closing(Link link) {
    if (!link.closing) {
      link.closing = true;
      closing++;
    }
  }

  /** What waited for room among all connections that come up may have it now. */
  private void feedStarved(long now) {
    if (opening < settings.openingAll()) {
      for (ServerLinks<A> server : List.copyOf(servers.values())) {
        if (server.starved()) {
          server.placeAgain(now);
        }
      }
    }
  }

  /** Whether a socket is to be had, now or by ending a free connection. */
  boolean hasSocket() {
    return sockets() < settings.sockets() || richest(null) != null;
  }

  /** Whether there are so many sockets left that one may be opened ahead of need. */
  boolean roomAhead() {
    return sockets() < AHEAD_PART * settings.sockets()
        && opening < settings.openingAll()
        && free().size() + opening < freeAtMost();
  }

  /**
   * Takes one of the sockets that all servers share; null if none is to be had. Guards against
   * running out of descriptors, after which neither a client nor a server could be reached. Where
   * all are taken, the server with the most connections gives one that is free, so that those with
   * few are served first (max-min fairness); among equals the one that has been free longest.
   */
  Link take(long now, ServerLinks<A> server, int generation) {
    if (opening >= settings.openingAll()) {
      return null;
    }
    if (sockets() >= settings.sockets()) {
      ServerLinks<A> richest = richest(server);
      if (richest == null) {
        return null;
      }
      richest.retire(richest.idlest());
    }
    keepFew(1);
    opening++;
    Link link =
        new Link(
            ++lastLink,
            generation,
            now,
            (long) (settings.idleNanos() * (1 - random.getAsDouble() / 5)),
            (long) (settings.ageNanos() * (1 - random.getAsDouble() / 5)));
    links.put(link.id, new Owned<>(server, link));
    return link;
  }

  private List<Owned<A>> free() {
    List<Owned<A>> free = new ArrayList<>();
    for (Owned<A> owned : links.values()) {
      if (owned.link().free()) {
        free.add(owned);
      }
    }
    return free;
  }

  /** How many free connections this node keeps, at all servers of the list together. */
  int freeAtMost() {
    return (int) Math.max(1, Math.ceil(settings.freeEach() * servers.size() - 1e-9));
  }

  /**
   * Ends the free connections beyond this node's part, those first that have been free longest.
   * Servers take so many from all nodes together, and none sees the others: where each keeps one at
   * each server, as soon as there are more nodes than a server takes connections, the last to come
   * find every door shut, however little goes on. Which ones a node keeps goes by its own use.
   *
   * @param room for how many more
   */
  private void keepFew(int room) {
    List<Owned<A>> free = free();
    int beyond = free.size() + room - freeAtMost();
    if (beyond <= 0) {
      return;
    }
    free.sort((a, b) -> Long.signum(a.link().usedAt - b.link().usedAt));
    for (Owned<A> owned : free.subList(0, beyond)) {
      owned.server().retire(owned.link());
    }
  }

  /** The server with the most connections of those that have a free one. */
  private ServerLinks<A> richest(ServerLinks<A> but) {
    ServerLinks<A> richest = null;
    Link idlest = null;
    for (ServerLinks<A> server : servers.values()) {
      Link idle = server == but ? null : server.idlest();
      if (idle != null
          && (richest == null
              || server.count() > richest.count()
              || (server.count() == richest.count() && idle.usedAt - idlest.usedAt < 0))) {
        richest = server;
        idlest = idle;
      }
    }
    return richest;
  }
}
