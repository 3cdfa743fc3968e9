package beamspread.node.client;

import beamspread.loop.EventLoopMonitor;
import beamspread.pool.IdleTimeScale;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;

/** All connections of clients: which are idle, and which must give way. */
public final class ClientConnections {
  /**
   * What bounds the clients' connections.
   *
   * @param connections how many may be open
   * @param commandNanos how long a command may take to come, and the first one to begin: a slow
   *     client takes 2 s for a head, a silent one is to be told within 3 s
   * @param idleNanos how long one is kept between requests while there are few
   * @param crowdedNanos how long one is kept between requests while there are many
   * @param stallNanos how long a client may read nothing of what waits for it
   * @param lingerNanos how long a client that was turned away has to read why
   */
  public record Limits(
      int connections,
      long commandNanos,
      long idleNanos,
      long crowdedNanos,
      long stallNanos,
      long lingerNanos) {

    /** What a node has, for this many connections. */
    public static Limits usual(int connections) {
      return new Limits(
          connections,
          2_500_000_000L,
          10_000_000_000L,
          100_000_000L,
          3_000_000_000L,
          1_000_000_000L);
    }
  }

  /** A client that means to ask does so within this time: the way there and some to spare. */
  private static final long FRESH_NANOS = 50_000_000L;

  /** Up to a third of its connections a node has few, from two thirds on many. */
  private static final IdleTimeScale REST = new IdleTimeScale(1 / 3.0, 2 / 3.0);

  private final Limits limits;
  private final EventLoopMonitor watch;
  private final LinkedHashSet<ClientHandler> open = new LinkedHashSet<>();

  /** Those that have asked for nothing yet, oldest first. */
  private final LinkedHashSet<ClientHandler> fresh = new LinkedHashSet<>();

  /** Those between requests, longest idle first. */
  private final LinkedHashSet<ClientHandler> idle = new LinkedHashSet<>();

  /** Those that were turned away and only wait for their end. */
  private final LinkedHashSet<ClientHandler> lingering = new LinkedHashSet<>();

  private volatile boolean draining;
  private long takenUntil;
  private Runnable whenEmpty;
  private long accepted;

  /** Connections that other processes of this node hold. */
  private int heldByOthers;

  /** None yet; the watch is that of the event loop that they are on. */
  public ClientConnections(Limits limits, EventLoopMonitor watch) {
    this.limits = limits;
    this.watch = watch;
  }

  Limits limits() {
    return limits;
  }

  /**
   * Leaves other processes of this node what they hold, but keeps at least half. Nothing that is
   * open ends for it: what is beyond gives way to new connections, or falls idle.
   *
   * @param held connections that the others hold
   */
  public void share(int held) {
    heldByOthers = held;
  }

  /** Nanoseconds that leave out the time in which the event loop did not run. */
  public long idleClock() {
    long now = System.nanoTime();
    return now - watch.pausedNanos(now);
  }

  /** How long what is read now may have lain in its socket, 0 where the loop keeps up. */
  long unreadNanos(long now) {
    return watch.maxUnreadNanos(now);
  }

  /** The number of the event loop's turn. */
  long turn() {
    return watch.turn();
  }

  private int most() {
    int all = limits.connections();
    return Math.max(1, Math.max(all / 2, all - heldByOthers));
  }

  /**
   * How long a connection is kept between requests: the fuller, the shorter. Guards against clients
   * that ask once and keep their connection: these use up what all clients together may hold, long
   * before this node runs out, and then others have none to ask on. Should cover pools that are
   * left open as well. With few connections open nothing is closed early, since a new one costs
   * both sides work, and a close may cross a request, which then comes late or, where this node
   * stands still meanwhile, not at all; it could do harm where many clients ask again after a
   * moment.
   */
  long restNanos() {
    double full = (double) open.size() / most();
    return REST.idleTimeNanos(full, limits.idleNanos(), limits.crowdedNanos());
  }

  /**
   * Takes a new connection in; false if there is no room. Guards against running out of
   * descriptors: whoever waits least for an answer gives way, and no request that is open ever
   * does. It could do harm to clients that connect long before they ask; these connect again.
   */
  boolean opened(ClientHandler client) {
    accepted++;
    boolean room = open.size() < most() || makeRoom();
    open.add(client);
    if (room) {
      fresh.add(client);
    }
    return room;
  }

  /**
   * Ends whoever waits least. Guards with a look at each against ending one that has asked while
   * this node did not run: its request lies in the socket, and is taken instead.
   */
  private boolean makeRoom() {
    ClientHandler last = first(lingering);
    if (last != null) {
      forget(last);
      last.dropLingering();
      return true;
    }
    // Who has asked is busy after a look, or behind all others, so that each is looked at once.
    for (int looks = fresh.size() + idle.size(); looks > 0; looks--) {
      last = leastWaiting();
      if (last == null) {
        return false;
      }
      if (last.looksQuiet()) {
        forget(last);
        last.drop();
        return true;
      }
    }
    return false;
  }

  private ClientHandler leastWaiting() {
    ClientHandler last = first(fresh);
    if (last != null && idleClock() - last.restsSince() < FRESH_NANOS && !idle.isEmpty()) {
      last = null;
    }
    return last == null ? first(idle) : last;
  }

  private static ClientHandler first(LinkedHashSet<ClientHandler> set) {
    Iterator<ClientHandler> first = set.iterator();
    return first.hasNext() ? first.next() : null;
  }

  void busy(ClientHandler client) {
    fresh.remove(client);
    idle.remove(client);
  }

  /** Nothing is owed to the client, and it has asked before. */
  void idle(ClientHandler client) {
    if (draining) {
      client.leave();
    } else {
      idle.add(client);
    }
  }

  void lingers(ClientHandler client) {
    busy(client);
    lingering.add(client);
  }

  void closed(ClientHandler client) {
    forget(client);
    if (draining && open.isEmpty()) {
      whenEmpty.run();
    }
  }

  private void forget(ClientHandler client) {
    open.remove(client);
    busy(client);
    lingering.remove(client);
  }

  /** Ends what has outlived its time. */
  public void sweep(long now) {
    for (ClientHandler client : List.copyOf(open)) {
      client.sweep(now);
    }
  }

  /** How many are open. */
  public int count() {
    return open.size();
  }

  /** How many have ever been accepted. */
  public long accepted() {
    return accepted;
  }

  /** Whether a planned restart ends them. */
  public boolean draining() {
    return draining;
  }

  /**
   * Whether a request with so much time can still be answered here. Guards a request that is found
   * late in a drain: what this node may not live to answer is refused, and can go elsewhere.
   *
   * @param budget seconds
   */
  boolean mayTake(double budget) {
    return !draining || System.nanoTime() + (long) (budget * 1e9) - takenUntil <= 0;
  }

  /**
   * From now on closes each connection as it falls idle; runs the step when none is left.
   *
   * @param until when this node ends at the latest, on the clock of {@link System#nanoTime()}
   */
  public void drain(long until, Runnable then) {
    draining = true;
    takenUntil = until;
    whenEmpty = then;
    for (ClientHandler client : List.copyOf(open)) {
      client.drain();
    }
    if (open.isEmpty()) {
      then.run();
    }
  }
}
