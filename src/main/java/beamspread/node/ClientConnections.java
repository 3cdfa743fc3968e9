package beamspread.node;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;

/** All connections of clients: which are idle, and which must give way. */
final class ClientConnections {
  /**
   * What bounds the clients' connections.
   *
   * @param connections how many may be open
   * @param commandNanos how long a command may take to come, and the first one to begin
   * @param idleNanos how long one is kept between requests while there are few
   * @param crowdedNanos how long one is kept between requests while there are many
   * @param stallNanos how long a client may read nothing of what waits for it
   * @param lingerNanos how long a client that was turned away has to read why
   */
  record Limits(
      int connections,
      long commandNanos,
      long idleNanos,
      long crowdedNanos,
      long stallNanos,
      long lingerNanos) {

    static Limits usual(int connections) {
      return new Limits(
          connections,
          2_000_000_000L,
          10_000_000_000L,
          100_000_000L,
          3_000_000_000L,
          1_000_000_000L);
    }
  }

  /** A client that means to ask does so within this time: the way there and some to spare. */
  private static final long FRESH_NANOS = 50_000_000L;

  /** The part of its connections from which on a node has many. */
  private static final int CROWD = 3;

  private final Limits limits;
  private final LinkedHashSet<ClientHandler> open = new LinkedHashSet<>();

  /** Those that have asked for nothing yet, oldest first. */
  private final LinkedHashSet<ClientHandler> fresh = new LinkedHashSet<>();

  /** Those between requests, longest idle first. */
  private final LinkedHashSet<ClientHandler> idle = new LinkedHashSet<>();

  /** Those that were turned away and only wait for their end. */
  private final LinkedHashSet<ClientHandler> lingering = new LinkedHashSet<>();

  private boolean draining;
  private Runnable whenEmpty;

  ClientConnections(Limits limits) {
    this.limits = limits;
  }

  Limits limits() {
    return limits;
  }

  /**
   * How long a connection is kept between requests. Guards against clients that ask once and keep
   * their connection: these use up what all clients together may hold, long before this node runs
   * out, and then others have none to ask on. Should cover pools that are left open as well. With
   * few connections open nothing is closed early, since a new one costs both sides work; it could
   * do harm where many clients ask again after a moment: these have to connect anew.
   */
  long restNanos() {
    return open.size() > limits.connections() / CROWD ? limits.crowdedNanos() : limits.idleNanos();
  }

  /**
   * Takes a new connection in; false if there is no room. Guards against running out of
   * descriptors: whoever waits least for an answer gives way, and no request that is open ever
   * does. It could do harm to clients that connect long before they ask; these connect again.
   */
  boolean opened(ClientHandler client) {
    boolean room = open.size() < limits.connections() || makeRoom();
    open.add(client);
    if (room) {
      fresh.add(client);
    }
    return room;
  }

  private boolean makeRoom() {
    ClientHandler last = first(lingering);
    if (last == null) {
      last = first(fresh);
      if (last != null && System.nanoTime() - last.since() < FRESH_NANOS && !idle.isEmpty()) {
        last = null;
      }
    }
    if (last == null) {
      last = first(idle);
    }
    if (last == null) {
      return false;
    }
    forget(last);
    last.drop();
    return true;
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
      client.closeWhenWritten();
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
  void sweep(long now) {
    for (ClientHandler client : List.copyOf(open)) {
      client.sweep(now);
    }
  }

  int count() {
    return open.size();
  }

  boolean draining() {
    return draining;
  }

  /** From now on closes each connection as it falls idle; runs the step when none is left. */
  void drain(Runnable then) {
    draining = true;
    whenEmpty = then;
    for (ClientHandler client : List.copyOf(open)) {
      client.drain();
    }
    if (open.isEmpty()) {
      then.run();
    }
  }
}
