package beamspread.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * What bounds the connections of one node to its cache servers.
 *
 * @param connections how many this node opens to one server at most
 * @param leaving how many more may be open while others are being given up
 * @param streaming how many more may be open while answers come in parts on as many others
 * @param depth how many attempts may be under way on one
 * @param sockets how many may be open, or coming up, to all servers together
 * @param openingEach how many may be coming up to one server
 * @param openingAll how many may be coming up to all servers
 * @param spare how many free ones are kept ready at a server that is in use, beyond need
 * @param freeEach how many free ones are kept at all servers together, for each server of the list:
 *     under one where more nodes than a server takes connections share them
 * @param idleNanos how long one is kept that is not in use, at most; each ends up to a fifth
 *     earlier
 * @param ageNanos how long one is kept at all, at most, 0 for without end; up to a fifth earlier
 * @param suspectNanos how long an answer may be overdue at the least before its connection is
 *     suspect
 * @param coldNanos how long after its start a server gets no connection ahead of need
 */
public record PoolSettings(
    int connections,
    int leaving,
    int streaming,
    int depth,
    int sockets,
    int openingEach,
    int openingAll,
    int spare,
    double freeEach,
    long idleNanos,
    long ageNanos,
    long suspectNanos,
    long coldNanos) {

  /**
   * Connections to one server, over all nodes together, that a tier keeps of itself. Where it has
   * more nodes than that, each keeps less than one for each server.
   */
  public static final int TIER_CONNECTIONS = 12;

  /** A node's part of those, for each server. */
  public static double tierPart(int nodes) {
    return (double) TIER_CONNECTIONS / Math.max(1, nodes);
  }

  /** How many may be open to one server in any case. */
  int most() {
    return connections + leaving + streaming;
  }

  /** The same without the sockets that others hold, but with half of them at least. */
  public PoolSettings without(int held) {
    return new PoolSettings(
        connections,
        leaving,
        streaming,
        depth,
        Math.max(1, Math.max(sockets / 2, sockets - held)),
        openingEach,
        openingAll,
        spare,
        freeEach,
        idleNanos,
        ageNanos,
        suspectNanos,
        coldNanos);
  }

  /** All that makes no sense here, in words for operators; empty if nothing is wrong. */
  public List<String> faults() {
    List<String> faults = new ArrayList<>();
    least(faults, "connections", connections, 1);
    least(faults, "leaving", leaving, 0);
    least(faults, "streaming", streaming, 0);
    least(faults, "depth", depth, 1);
    least(faults, "sockets", sockets, 1);
    least(faults, "opening_each", openingEach, 1);
    least(faults, "opening_all", openingAll, 1);
    least(faults, "spare", spare, 0);
    if (spare >= connections) {
      faults.add("spare must be under connections, which is " + connections);
    }
    if (!(freeEach > 0)) {
      faults.add("free_each must be above 0");
    }
    least(faults, "idle_s", idleNanos, 1);
    least(faults, "age_s", ageNanos, 0);
    least(faults, "suspect_s", suspectNanos, 1);
    least(faults, "cold_s", coldNanos, 0);
    return faults;
  }

  private static void least(List<String> faults, String name, long value, long least) {
    if (value < least) {
      faults.add(least == 0 ? name + " must not be negative" : name + " must be at least " + least);
    }
  }
}
