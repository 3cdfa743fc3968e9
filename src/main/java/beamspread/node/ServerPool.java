package beamspread.node;

import beamspread.model.Outcome;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** This node's connections to one cache server. */
final class ServerPool {
  /** How long a number of connections that a server turned down is kept to. */
  private static final long CAPPED_NANOS = 30_000_000_000L;

  /**
   * What bounds the connections to each server.
   *
   * @param connections how many this node opens at most
   * @param depth how many attempts may be under way on one
   * @param idleNanos how long one is kept that is not in use
   */
  record Limits(int connections, int depth, long idleNanos) {}

  private final Bootstrap bootstrap;
  private final Limits limits;
  private final Dispatcher dispatcher;
  private final List<ServerConnection> connections = new ArrayList<>();
  private final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
  private InetSocketAddress address;
  private int connecting;
  private int cap;
  private long cappedAt;

  ServerPool(Bootstrap bootstrap, Limits limits, Dispatcher dispatcher, InetSocketAddress address) {
    this.bootstrap = bootstrap;
    this.limits = limits;
    this.dispatcher = dispatcher;
    this.address = address;
    this.cap = limits.connections();
  }

  /**
   * The list has the server here, started at this time. Connections to another address, or older
   * than the process, lead nowhere: they are not used again.
   */
  void listed(InetSocketAddress at, double startedAt, double now) {
    boolean moved = !at.equals(address);
    address = at;
    long started = System.nanoTime() - (long) (Math.max(0, now - startedAt) * 1e9);
    for (ServerConnection connection : List.copyOf(connections)) {
      if (moved || (startedAt > 0 && connection.openedAt() - started < 0)) {
        connection.retire();
      }
    }
  }

  /** The server has left: what is under way may end, and nothing new begins. */
  void retire() {
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
    ServerConnection best = null;
    for (ServerConnection connection : connections) {
      if (connection.load() < limits.depth() && connection.preferredTo(best)) {
        best = connection;
      }
    }
    if (best != null && best.load() == 0) {
      best.write(attempt);
      return;
    }
    if (connections.size() + connecting < cap()) {
      waiting.add(attempt);
      if (connecting < waiting.size()) {
        connect();
      }
    } else if (best != null) {
      best.write(attempt);
    } else {
      waiting.add(attempt);
      if (connections.isEmpty() && connecting == 0) {
        connect();
      }
    }
  }

  private int cap() {
    if (cap < limits.connections() && System.nanoTime() - cappedAt > CAPPED_NANOS) {
      cap = limits.connections();
    }
    return cap;
  }

  void forget(Attempt attempt) {
    waiting.remove(attempt);
  }

  private void connect() {
    connecting++;
    long began = System.nanoTime();
    ServerConnection connection = new ServerConnection(this, dispatcher);
    ChannelFuture future = connection.open(bootstrap, address);
    future.addListener(
        done -> {
          connecting--;
          if (done.isSuccess()) {
            connections.add(connection);
            free(connection);
          } else {
            connectFailed(began, done.cause() instanceof ConnectTimeoutException);
          }
        });
  }

  /**
   * No connection came up. One that was turned down while others work shows the server's limit:
   * what waited goes on those, since a failure would tell the module that the server is down. But a
   * connection that times out beside silent ones shows a machine that has vanished.
   */
  private void connectFailed(long began, boolean silent) {
    if (silent) {
      suspectSilence(began);
    }
    boolean usable = connections.stream().anyMatch(c -> c.load() < limits.depth());
    if (usable) {
      cap = Math.max(1, connections.size());
      cappedAt = System.nanoTime();
    } else if (connecting > 0) {
      return;
    }
    for (Attempt attempt = waiting.poll(); attempt != null; attempt = waiting.poll()) {
      if (usable) {
        send(attempt);
      } else {
        dispatcher.ended(attempt, Outcome.Result.CONNECT_FAILED);
      }
    }
  }

  /** A connection has nothing under way: the attempt that waits longest may have it. */
  void free(ServerConnection connection) {
    Attempt next = waiting.poll();
    if (next != null) {
      connection.write(next);
    }
  }

  /** A connection is closed. */
  void closed(ServerConnection connection) {
    connections.remove(connection);
    if (connections.isEmpty() && connecting == 0 && !waiting.isEmpty()) {
      connect();
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
      if (connection.load() == 0 && (before == 0 || connection.usedAt() - before < 0)) {
        connection.retire();
      }
    }
  }
}
