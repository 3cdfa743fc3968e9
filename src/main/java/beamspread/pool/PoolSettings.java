package beamspread.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * Limits on the connections of one node to its cache servers.
 *
 * @param connectionsPerServer how many this node opens to one server at most
 * @param extraWhileRetiring how many more may be open while others are retiring
 * @param extraWhileStreaming how many more may be open while as many others stream answers in parts
 * @param multiplexingDepth how many attempts may be in flight on one connection
 * @param maxSockets how many connections may be open or opening, to all servers together
 * @param openingPerServer how many may be opening to one server
 * @param openingTotal how many may be opening to all servers
 * @param spareConnections how many free ones are kept ready, ahead of need, at a server in use
 * @param freePerServer how many free ones are kept at all servers together, for each listed server;
 *     below one where more nodes share a server than it accepts connections
 * @param idleTimeoutNanos longest idle time; each connection closes up to a fifth earlier
 * @param maxAgeNanos maximum age, 0 for none; each connection closes up to a fifth earlier
 * @param suspectAfterNanos shortest wait for an answer after which a connection is suspect
 * @param coldPeriodNanos how long after its start a server gets no connection ahead of need
 */
public record PoolSettings(
    int connectionsPerServer,
    int extraWhileRetiring,
    int extraWhileStreaming,
    int multiplexingDepth,
    int maxSockets,
    int openingPerServer,
    int openingTotal,
    int spareConnections,
    double freePerServer,
    long idleTimeoutNanos,
    long maxAgeNanos,
    long suspectAfterNanos,
    long coldPeriodNanos) {

  /**
   * Connections to one server that all nodes of a tier together keep by default. With more nodes
   * than that, each node keeps fewer connections than servers.
   */
  public static final int TIER_CONNECTIONS_PER_SERVER = 12;

  /** Returns one node's share of those connections, for each server. */
  public static double shareOfNode(int nodes) {
    return (double) TIER_CONNECTIONS_PER_SERVER / Math.max(1, nodes);
  }

  /** Returns how many connections to one server may be open in any case. */
  int maxOpenPerServer() {
    return connectionsPerServer + extraWhileRetiring + extraWhileStreaming;
  }

  /**
   * Returns these settings without the sockets that others hold, but with half of them at least.
   */
  public PoolSettings withoutSockets(int heldSockets) {
    return new PoolSettings(
        connectionsPerServer,
        extraWhileRetiring,
        extraWhileStreaming,
        multiplexingDepth,
        Math.max(1, Math.max(maxSockets / 2, maxSockets - heldSockets)),
        openingPerServer,
        openingTotal,
        spareConnections,
        freePerServer,
        idleTimeoutNanos,
        maxAgeNanos,
        suspectAfterNanos,
        coldPeriodNanos);
  }

  /** Returns all invalid settings, as messages for operators; empty if all are valid. */
  public List<String> validationErrors() {
    List<String> errors = new ArrayList<>();
    requireAtLeast(errors, "connections", connectionsPerServer, 1);
    requireAtLeast(errors, "leaving", extraWhileRetiring, 0);
    requireAtLeast(errors, "streaming", extraWhileStreaming, 0);
    requireAtLeast(errors, "depth", multiplexingDepth, 1);
    requireAtLeast(errors, "sockets", maxSockets, 1);
    requireAtLeast(errors, "opening_each", openingPerServer, 1);
    requireAtLeast(errors, "opening_all", openingTotal, 1);
    requireAtLeast(errors, "spare", spareConnections, 0);
    if (spareConnections >= connectionsPerServer) {
      errors.add("spare must be under connections, which is " + connectionsPerServer);
    }
    if (!(freePerServer > 0)) {
      errors.add("free_each must be above 0");
    }
    requireAtLeast(errors, "idle_s", idleTimeoutNanos, 1);
    requireAtLeast(errors, "age_s", maxAgeNanos, 0);
    requireAtLeast(errors, "suspect_s", suspectAfterNanos, 1);
    requireAtLeast(errors, "cold_s", coldPeriodNanos, 0);
    return errors;
  }

  private static void requireAtLeast(List<String> errors, String name, long value, long minimum) {
    if (value < minimum) {
      errors.add(
          minimum == 0 ? name + " must not be negative" : name + " must be at least " + minimum);
    }
  }
}
