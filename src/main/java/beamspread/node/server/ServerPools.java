package beamspread.node.server;

import beamspread.model.Outcome;
import beamspread.pool.PoolActions;
import beamspread.pool.PoolSettings;
import beamspread.pool.Pools;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.DoubleSupplier;

/**
 * Carries out the actions of {@link Pools} for the connections to all cache servers, each
 * identified by its number in the decision module. Runs on the event loop only.
 */
public final class ServerPools implements PoolActions<Attempt> {
  private final Executor loop;
  private final Bootstrap bootstrap;
  private final AttemptListener listener;
  private final long minReplyStallNanos;
  private final Runnable onSocketClosed;
  private final Pools<Attempt> pools;
  private final Map<Long, SocketAddress> addresses = new HashMap<>();
  private final Map<Long, ServerConnection> connections = new HashMap<>();
  private final ReplyStatistics replyStatistics = new ReplyStatistics();
  private long opened;
  private long failedOpens;

  /**
   * @param minReplyStallNanos how long an incomplete reply pauses before it is reported
   * @param random numbers from 0 to 1
   * @param onSocketClosed runs each time a socket was closed
   */
  public ServerPools(
      Executor loop,
      Bootstrap bootstrap,
      PoolSettings settings,
      long minReplyStallNanos,
      DoubleSupplier random,
      Runnable onSocketClosed,
      AttemptListener listener) {
    this.loop = loop;
    this.bootstrap = bootstrap;
    this.listener = listener;
    this.minReplyStallNanos = minReplyStallNanos;
    this.onSocketClosed = onSocketClosed;
    this.pools = new Pools<>(settings, random, this);
  }

  /**
   * Adds or updates a server of the list.
   *
   * @param startedAt when its process started, {@link Long#MIN_VALUE} for long ago
   */
  public void serverListed(long server, SocketAddress address, long startedAt) {
    SocketAddress previousAddress = addresses.put(server, address);
    pools.serverListed(
        server, previousAddress != null && !previousAddress.equals(address), startedAt);
  }

  /**
   * Fails the attempts that wait for a connection to a draining server, so that they go to another.
   */
  public void serverDraining(long server) {
    pools.serverDraining(server);
  }

  /** Removes a server that has left the list. */
  public void serverLeft(long server) {
    if (addresses.remove(server) != null) {
      pools.serverLeft(server);
    }
  }

  /** Returns the number of sockets to cache servers: open, opening or retiring. */
  public int socketCount() {
    return pools.socketCount();
  }

  /** Returns how many connections were established since the start. */
  public long opened() {
    return opened;
  }

  /** Returns how many connections could not be opened since the start. */
  public long failedOpens() {
    return failedOpens;
  }

  /** Returns the counts of replies that answer nothing and of refusals. */
  public ReplyStatistics replyStatistics() {
    return replyStatistics;
  }

  /** Applies changed settings. */
  public void applySettings(PoolSettings settings) {
    pools.applySettings(settings);
  }

  /** Sends an attempt on a connection to its server. */
  public void send(Attempt attempt) {
    pools.send(System.nanoTime(), attempt.server, attempt, attempt.unrepeatable);
  }

  /**
   * Reads the attempt's socket now, in case its answer has arrived; only from a task of the loop.
   */
  public void readNow(Attempt attempt) {
    if (attempt.connection != null) {
      attempt.connection.readNow();
    }
  }

  /**
   * Begins the answer to an attempt with the head of a large value if that is all that has come.
   */
  public void passHeldHead(Attempt attempt) {
    if (attempt.connection == null) {
      return;
    }
    try {
      attempt.connection.passHeldHead(attempt);
    } catch (Exception e) {
      listener.report("head of a large value", e);
    }
  }

  /**
   * Stops waiting for an attempt.
   *
   * @param overdue whether the server has not answered in time
   */
  public void withdraw(Attempt attempt, boolean overdue) {
    if (attempt.connection == null) {
      pools.withdrawWaiting(attempt.server, attempt);
    } else if (attempt.connection.hasInFlight(attempt)) {
      pools.attemptAbandoned(attempt.connection.id, attempt.sentAt, overdue);
    }
  }

  /** Closes the free connections to a server. */
  public void closeIdle(long server) {
    pools.closeIdle(server);
  }

  /** Closes expired connections, and reports replies that make no progress. */
  public void sweep(long now) {
    pools.tick(now);
    List.copyOf(connections.values())
        .forEach(connection -> connection.checkStall(now, minReplyStallNanos));
  }

  // Actions of the pools.

  @Override
  public void open(long server, long connectionId) {
    ServerConnection connection =
        new ServerConnection(
            connectionId, pools, listener, replyStatistics, () -> onClosed(connectionId));
    ChannelFuture future = connection.open(bootstrap, addresses.get(server));
    if (future.isDone()) {
      // Results are never reported to the pools from within one of their actions.
      loop.execute(() -> opened(connection, future));
    } else {
      future.addListener(done -> opened(connection, future));
    }
  }

  private void onClosed(long connectionId) {
    connections.remove(connectionId);
    onSocketClosed.run();
  }

  private void opened(ServerConnection connection, ChannelFuture future) {
    if (future.isSuccess()) {
      opened++;
      connections.put(connection.id, connection);
      pools.connectionOpened(System.nanoTime(), connection.id);
    } else {
      failedOpens++;
      onSocketClosed.run();
      boolean timedOut = future.cause() instanceof ConnectTimeoutException;
      pools.connectionFailed(System.nanoTime(), connection.id, timedOut);
    }
  }

  @Override
  public boolean write(long connectionId, Attempt attempt) {
    if (!listener.isWanted(attempt)) {
      // Its value may have been released, and its answer is not needed.
      listener.attemptEnded(attempt, Outcome.Result.MOOT);
      return false;
    }
    if (attempt.mayTakeEffectTwice(System.nanoTime())) {
      listener.attemptEnded(attempt, Outcome.Result.CONNECT_FAILED);
      return false;
    }
    connections.get(connectionId).write(attempt);
    return true;
  }

  @Override
  public void close(long connectionId) {
    connections.get(connectionId).retire();
  }

  @Override
  public void rejectFull(Attempt attempt) {
    // The same outcome as when the server itself answers busy: the attempt has never run.
    listener.attemptEnded(attempt, Outcome.Result.FULL);
  }

  @Override
  public void rejectUnreachable(Attempt attempt) {
    listener.attemptEnded(attempt, Outcome.Result.CONNECT_FAILED);
  }
}
