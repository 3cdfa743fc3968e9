package beamspread.node;

import beamspread.model.Outcome;
import beamspread.model.ServerEntry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** This node's connections to one cache server. */
final class ServerPool {
  /**
   * Half of how long a number of connections is kept to after one more was turned down for the
   * first time, and how long at most: it doubles with each that fails, and halves with each that
   * comes up.
   */
  private static final long CAPPED_FIRST_NANOS = 50_000_000L;

  private static final long CAPPED_LONGEST_NANOS = 25_600_000_000L;

  /**
   * What bounds the connections to each server.
   *
   * @param connections how many this node opens at most
   * @param leaving how many more may be open while others are being given up
   * @param depth how many attempts may be under way on one
   * @param sockets how many may be open to all servers together
   * @param idleNanos how long one is kept that is not in use
   * @param stuckNanos how long a reply may be half here
   */
  record Limits(
      int connections, int leaving, int depth, int sockets, long idleNanos, long stuckNanos) {}

  private final Bootstrap bootstrap;
  private final Limits limits;
  private final ServerPools pools;
  private final Dispatcher dispatcher;
  private final List<ServerConnection> connections = new ArrayList<>();
  private final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
  private ServerEntry.State state = ServerEntry.State.READY;
  private SocketAddress address;
  private int connecting;
  private int cap;
  private long cappedAt;
  private long cappedFor = CAPPED_FIRST_NANOS;

  /** When the process that the list tells of started; connections from before lead nowhere. */
  private long started = Long.MIN_VALUE;

  private boolean left;

  ServerPool(
      Bootstrap bootstrap,
      Limits limits,
      ServerPools pools,
      Dispatcher dispatcher,
      SocketAddress address) {
    this.bootstrap = bootstrap;
    this.limits = limits;
    this.pools = pools;
    this.dispatcher = dispatcher;
    this.address = address;
    this.cap = limits.connections();
  }

  /**
   * The list has the server here, started at this time. Connections to another address, or older
   * than the process, lead nowhere: they are not used again.
   */
  void listed(SocketAddress at, ServerEntry entry, double now) {
    address = at;
    state = entry.state();
    if (entry.startedAt() > 0) {
      started = System.nanoTime() - (long) (Math.max(0, now - entry.startedAt()) * 1e9);
    }
    for (ServerConnection connection : List.copyOf(connections)) {
      if (leadsNowhere(connection)) {
        connection.retire();
      }
    }
  }

  /** What the list says of the server. */
  ServerEntry.State state() {
    return state;
  }

  private boolean leadsNowhere(ServerConnection connection) {
    return left
        || !connection.address().equals(address)
        || (started != Long.MIN_VALUE && connection.openedAt() - started < 0);
  }

  /** The server has left: what is under way may end, and nothing new begins. */
  void leave() {
    left = true;
    for (Attempt attempt = waiting.poll(); attempt != null; attempt = waiting.poll()) {
      dispatcher.ended(attempt, Outcome.Result.CONNECT_FAILED);
    }
    for (ServerConnection connection : List.copyOf(connections)) {
      connection.retire();
    }
  }

  /**
   * Writes an attempt to a free connection, the one used last so that others fall idle; where there
   * is none, opens one more; at the limit, writes it behind the fewest others.
   */
  void send(Attempt attempt) {
    long now = System.nanoTime();
    ServerConnection best = null;
    for (ServerConnection connection : connections) {
      if (connection.load() < limits.depth() && connection.preferredTo(best, now)) {
        best = connection;
      }
    }
    if (best != null && best.load() == 0) {
      best.write(attempt);
      return;
    }
    if (waiting.size() < connections.stream().filter(ServerConnection::isFreeSoon).count()) {
      waiting.add(attempt);
      return;
    }
    if (usable() + connecting < cap()
        && connections.size() + connecting < cap() + limits.leaving()) {
      if (connecting > waiting.size() || connect()) {
        waiting.add(attempt);
        return;
      }
      if (best == null && usable() + connecting == 0) {
        dispatcher.ended(attempt, Outcome.Result.CONNECT_FAILED);
        return;
      }
    }
    if (best != null) {
      best.write(attempt);
    } else {
      waiting.add(attempt);
    }
  }

  /**
   * Connections that may be written to, now or soon. Those that are being given up do not count:
   * what hangs on them must keep nothing else from the server.
   */
  private int usable() {
    int usable = 0;
    for (ServerConnection connection : connections) {
      usable += connection.unusable() ? 0 : 1;
    }
    return usable;
  }

  private int cap() {
    if (cap < limits.connections() && System.nanoTime() - cappedAt > cappedFor) {
      cap = limits.connections();
    }
    return cap;
  }

  void forget(Attempt attempt) {
    waiting.remove(attempt);
  }

  /** Opens one more connection; false if no socket is to be had. */
  private boolean connect() {
    if (!pools.takeSocket()) {
      return false;
    }
    connecting++;
    long began = System.nanoTime();
    ServerConnection connection = new ServerConnection(this, dispatcher, address);
    ChannelFuture future = connection.open(bootstrap);
    future.addListener(
        done -> {
          connecting--;
          if (done.isSuccess()) {
            connections.add(connection);
            cappedFor = Math.max(CAPPED_FIRST_NANOS, cappedFor / 2);
            if (leadsNowhere(connection)) {
              // The list changed while it came up: another process may be at this address by now.
              connection.retire();
            } else {
              free(connection);
            }
          } else {
            pools.giveSocketBack();
            connectFailed(began, done.cause() instanceof ConnectTimeoutException);
          }
        });
    return true;
  }

  /**
   * No connection came up. One that was turned down while others work may show the server's limit:
   * what waited goes on those, since a failure would tell the module that the server is down. It
   * may as well be chance, a reset or a restart, and the fewer connections, the more attempts end
   * with each that breaks. So the number is kept to for a moment only, and for longer each time
   * that this turns out to be the limit; the cost is a refused connection now and then. But one
   * that times out beside silent ones shows a machine that has vanished.
   */
  private void connectFailed(long began, boolean silent) {
    if (silent) {
      suspectSilence(began);
    }
    boolean usable = connections.stream().anyMatch(c -> c.load() < limits.depth());
    if (usable) {
      cappedFor = Math.min(2 * cappedFor, CAPPED_LONGEST_NANOS);
      cap = Math.max(1, usable());
      cappedAt = System.nanoTime();
      resend();
    } else if (connecting == 0) {
      for (Attempt attempt = waiting.poll(); attempt != null; attempt = waiting.poll()) {
        dispatcher.ended(attempt, Outcome.Result.CONNECT_FAILED);
      }
    }
  }

  /** Finds places anew for as many as wait now: some may have to wait again. */
  private void resend() {
    for (int i = waiting.size(); i > 0 && !waiting.isEmpty(); i--) {
      send(waiting.poll());
    }
  }

  /**
   * A connection may be written to: what waits longest has it, one attempt if others are coming up,
   * else as many as go on it.
   */
  void free(ServerConnection connection) {
    int most = connecting > 0 ? 1 : limits.depth();
    while (!waiting.isEmpty() && connection.load() < most) {
      Attempt next = waiting.poll();
      if (next.request.ended) {
        // Its value may be gone, and nobody wants its answer.
        dispatcher.ended(next, Outcome.Result.MOOT);
      } else {
        connection.write(next);
      }
    }
  }

  /** A connection is closed. */
  void closed(ServerConnection connection) {
    pools.giveSocketBack();
    connections.remove(connection);
    resend();
  }

  /** The connection that has been idle longest, null if none is. */
  ServerConnection idlest() {
    ServerConnection idlest = null;
    for (ServerConnection connection : connections) {
      if (connection.isIdle() && (idlest == null || connection.usedAt() - idlest.usedAt() < 0)) {
        idlest = connection;
      }
    }
    return idlest;
  }

  void closeStuck(long now) {
    for (ServerConnection connection : List.copyOf(connections)) {
      connection.closeIfStuck(now, limits.stuckNanos());
    }
  }

  /**
   * Nothing has come from this server since the given time, though an answer was due. Guards
   * against a machine that vanished, whose connections stay open and silent: none of those is used
   * again, so that the next attempt opens one and learns the truth within the connect time-out.
   */
  void suspectSilence(long since) {
    for (ServerConnection connection : connections) {
      if (connection.heardAt() - since > 0) {
        return;
      }
    }
    for (ServerConnection connection : List.copyOf(connections)) {
      connection.retire();
    }
  }

  /** Closes connections not used since the given time, all idle ones for 0. */
  void closeIdle(long before) {
    for (ServerConnection connection : List.copyOf(connections)) {
      if (connection.isIdle() && (before == 0 || connection.usedAt() - before < 0)) {
        connection.retire();
      }
    }
  }
}
