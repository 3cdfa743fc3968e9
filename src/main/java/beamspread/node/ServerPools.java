package beamspread.node;

import beamspread.model.Outcome;
import beamspread.model.ServerEntry;
import io.netty.bootstrap.Bootstrap;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The connections to all cache servers, each known by the number that the module uses. */
final class ServerPools {
  private final Map<Long, ServerPool> pools = new HashMap<>();
  private final Bootstrap bootstrap;
  private final ServerPool.Limits limits;
  private Dispatcher dispatcher;

  /** Sockets to cache servers: open, coming up, or being given up. */
  private int sockets;

  ServerPools(Bootstrap bootstrap, ServerPool.Limits limits) {
    this.bootstrap = bootstrap;
    this.limits = limits;
  }

  /** Takes in where the servers are now. */
  void update(Dispatcher owner, MemberList list, double now) {
    dispatcher = owner;
    Set<Long> gone = list.full() ? new HashSet<>(pools.keySet()) : new HashSet<>();
    for (MemberList.Member member : list.members()) {
      ServerEntry entry = member.entry();
      if (entry.state() == ServerEntry.State.GONE) {
        gone.add(entry.id());
        continue;
      }
      gone.remove(entry.id());
      ServerPool pool =
          pools.computeIfAbsent(
              entry.id(), id -> new ServerPool(bootstrap, limits, this, owner, member.address()));
      pool.listed(member.address(), entry, now);
    }
    for (long id : gone) {
      ServerPool pool = pools.remove(id);
      if (pool != null) {
        pool.leave();
      }
    }
  }

  /**
   * Takes one of the sockets that all pools share; false if there is none. Guards against running
   * out of descriptors, after which neither a client nor a server could be reached: where all are
   * taken, the connection that has been idle longest gives way. It could do harm with many servers
   * and few descriptors, when each request would open a connection that another needs.
   */
  boolean takeSocket() {
    if (sockets >= limits.sockets()) {
      ServerConnection idlest = null;
      for (ServerPool pool : pools.values()) {
        ServerConnection idle = pool.idlest();
        if (idle != null && (idlest == null || idle.usedAt() - idlest.usedAt() < 0)) {
          idlest = idle;
        }
      }
      if (idlest == null) {
        return false;
      }
      idlest.retire();
    }
    sockets++;
    return true;
  }

  int sockets() {
    return sockets;
  }

  /** How many servers the list names in each state. */
  Map<ServerEntry.State, Integer> states() {
    Map<ServerEntry.State, Integer> states = new EnumMap<>(ServerEntry.State.class);
    for (ServerPool pool : pools.values()) {
      states.merge(pool.state(), 1, Integer::sum);
    }
    return states;
  }

  void giveSocketBack() {
    sockets--;
  }

  void send(Attempt attempt) {
    ServerPool pool = pools.get(attempt.server);
    if (pool == null) {
      dispatcher.ended(attempt, Outcome.Result.CONNECT_FAILED);
    } else {
      pool.send(attempt);
    }
  }

  /** Stops waiting for an attempt; {@code overdue} if the server has not answered it in time. */
  void withdraw(Attempt attempt, boolean overdue) {
    if (attempt.connection != null) {
      attempt.connection.abandon(attempt, overdue);
    } else {
      ServerPool pool = pools.get(attempt.server);
      if (pool != null) {
        pool.forget(attempt);
      }
    }
  }

  void closeIdle(long server) {
    ServerPool pool = pools.get(server);
    if (pool != null) {
      pool.closeIdle(0);
    }
  }

  /** Closes connections that have been idle for so long that the server might, and stuck ones. */
  void sweep(long now) {
    for (ServerPool pool : pools.values()) {
      pool.closeIdle(now - limits.idleNanos());
      pool.closeStuck(now);
    }
  }
}
