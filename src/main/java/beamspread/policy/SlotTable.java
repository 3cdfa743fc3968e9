package beamspread.policy;

import beamspread.model.Hashes;
import java.util.BitSet;
import java.util.List;

/**
 * The slot array of Random Jump Consistent Hashing. Each slot belongs to the nearest server
 * clockwise. Hashes depend only on ids and keys, so balancers with the same list agree on owners.
 */
final class SlotTable {
  /** Number of slots (m): ten times the points of 100 servers, so that few points share a slot. */
  static final int SLOTS = 1 << 17;

  private static final int MASK = SLOTS - 1;
  private ServerHealth[] owners = {};

  /** Slots with a point. Other slots' owners are looked up, since filling all delays a start. */
  private BitSet slotsWithPoint = new BitSet();

  /** Number of points of a server of unit weight. */
  private final int unitPoints;

  SlotTable(int points) {
    unitPoints = points;
  }

  /** Rebuilds the table from the servers; their order does not matter. */
  void rebuild(List<ServerHealth> servers, boolean weighted) {
    owners = new ServerHealth[SLOTS];
    slotsWithPoint = new BitSet(SLOTS);
    double unitWeight = weighted ? unitWeight(servers) : 1;
    for (ServerHealth server : servers) {
      int points = weighted ? pointsOf(server.entry.weight() / unitWeight) : unitPoints;
      for (int point = 0; point < points; point++) {
        int slot = (int) Hashes.mix(Hashes.mix(server.id) + point) & MASK;
        if (owners[slot] == null || server.id < owners[slot].id) {
          owners[slot] = server;
          slotsWithPoint.set(slot);
        }
      }
    }
  }

  /** Returns a power of 4 near the largest weight, so that it rarely changes with the list. */
  private static double unitWeight(List<ServerHealth> servers) {
    double largest = 0;
    for (ServerHealth server : servers) {
      largest = Math.max(largest, LoadCap.valid(server.entry.weight()));
    }
    return largest > 0 ? Math.pow(4, Math.rint(Math.log(largest) / Math.log(4))) : 1;
  }

  /** Returns the points of a weight, bounded so that no weight gives too few or too many. */
  private int pointsOf(double weight) {
    double points = Math.rint(unitPoints * LoadCap.valid(weight));
    return (int) Math.max(4, Math.min(2 * unitPoints, points));
  }

  /** Returns the owner of slot h(key, attempt); null if there are no servers. */
  ServerHealth owner(long keyHash, int attempt) {
    int slot =
        slotsWithPoint.nextSetBit((int) Hashes.mix(keyHash + attempt * 0x9E3779B97F4A7C15L) & MASK);
    slot = slot < 0 ? slotsWithPoint.nextSetBit(0) : slot;
    return slot < 0 ? null : owners[slot];
  }
}
