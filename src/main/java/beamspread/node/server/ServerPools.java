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
 * Carries out what {@link Pools} decides about the connections to all cache servers, each known by
 * the number that the module uses. All of it runs on the event loop.
 */
public final class ServerPools implements PoolActions<Attempt> {
  private final Executor loop;
  private final Bootstrap bootstrap;
  private final Outcomes outcomes;
  private final long stuckNanos;
  private final Pools<Attempt> pools;
  private final Map<Long, SocketAddress> servers = new HashMap<>();
  private final Map<Long, ServerLink> links = new HashMap<>();
  private long opened;
  private long turnedDown;

  /**
   * @param stuckNanos how long a reply may be half here
   * @param random numbers from 0 to 1
   */
  public ServerPools(
      Executor loop,
      Bootstrap bootstrap,
      PoolSettings settings,
      long stuckNanos,
      DoubleSupplier random,
      Outcomes outcomes) {
    this.loop = loop;
    this.bootstrap = bootstrap;
    this.outcomes = outcomes;
    this.stuckNanos = stuckNanos;
    this.pools = new Pools<>(settings, random, this);
  }

  /**
   * The list has a server here.
   *
   * @param startedAt when its process started, {@link Long#MIN_VALUE} for long ago
   */
  public void listed(long server, SocketAddress address, long startedAt) {
    SocketAddress before = servers.put(server, address);
    pools.listed(server, before != null && !before.equals(address), startedAt);
  }

  /** A server drains: what still waits for a connection to it goes elsewhere. */
  public void drains(long server) {
    pools.drains(server);
  }

  /** A server has left. */
  public void left(long server) {
    if (servers.remove(server) != null) {
      pools.left(server);
    }
  }

  /** Sockets to cache servers: open, coming up, or being given up. */
  public int sockets() {
    return pools.sockets();
  }

  /** Connections that have come up since the start. */
  public long opened() {
    return opened;
  }

  /** Connections that have not come up since the start. */
  public long turnedDown() {
    return turnedDown;
  }

  /** Goes on by other settings. */
  public void use(PoolSettings settings) {
    pools.use(settings);
  }

  /** Finds a connection for an attempt. */
  public void send(Attempt attempt) {
    pools.send(System.nanoTime(), attempt.server, attempt, attempt.guarded);
  }

  /** Takes in whether an attempt has been answered by now; only from a task of the loop. */
  public void look(Attempt attempt) {
    if (attempt.link != null) {
      attempt.link.look();
    }
  }

  /** Stops waiting for an attempt; {@code overdue} if the server has not answered it in time. */
  public void withdraw(Attempt attempt, boolean overdue) {
    if (attempt.link == null) {
      pools.forget(attempt.server, attempt);
    } else if (attempt.link.has(attempt)) {
      pools.abandoned(attempt.link.id, attempt.sentAt, overdue);
    }
  }

  /** Closes the connections to a server on which nothing is under way. */
  public void closeIdle(long server) {
    pools.closeIdle(server);
  }

  /** Closes what has outlived its time. */
  public void sweep(long now) {
    pools.tick(now);
    List.copyOf(links.values()).forEach(link -> link.closeIfStuck(now, stuckNanos));
  }

  // What the pools decide.

  @Override
  public void open(long server, long id) {
    ServerLink link = new ServerLink(id, pools, outcomes, () -> links.remove(id));
    ChannelFuture future = link.open(bootstrap, servers.get(server));
    if (future.isDone()) {
      // The pools are told nothing from within a decision of theirs.
      loop.execute(() -> opened(link, future));
    } else {
      future.addListener(done -> opened(link, future));
    }
  }

  private void opened(ServerLink link, ChannelFuture future) {
    if (future.isSuccess()) {
      opened++;
      links.put(link.id, link);
      pools.opened(System.nanoTime(), link.id);
    } else {
      turnedDown++;
      boolean silent = future.cause() instanceof ConnectTimeoutException;
      pools.notOpened(System.nanoTime(), link.id, silent);
    }
  }

  @Override
  public boolean write(long link, Attempt attempt) {
    if (!outcomes.wanted(attempt)) {
      // Its value may be gone, and nobody wants its answer.
      outcomes.ended(attempt, Outcome.Result.MOOT);
      return false;
    }
    if (attempt.tooLate(System.nanoTime())) {
      outcomes.ended(attempt, Outcome.Result.CONNECT_FAILED);
      return false;
    }
    links.get(link).write(attempt);
    return true;
  }

  @Override
  public void close(long link) {
    links.get(link).close();
  }

  @Override
  public void full(Attempt attempt) {
    // As the server itself says where it takes no more connections: it has never run.
    outcomes.ended(attempt, Outcome.Result.FULL);
  }

  @Override
  public void unreachable(Attempt attempt) {
    outcomes.ended(attempt, Outcome.Result.CONNECT_FAILED);
  }
}
