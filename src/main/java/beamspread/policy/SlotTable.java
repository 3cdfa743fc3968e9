package beamspread.policy;

import beamspread.model.Hashes;
import java.util.BitSet;
import java.util.List;

/**
 * The array of slots of Random Jump Consistent Hashing. Every slot belongs to the server hashed
 * nearest clockwise of it. Hashes use ids and keys alone, so balancers with the same list agree.
 */
final class SlotTable {
  /** Slots (m): ten times the points of a hundred servers, so that few points share a slot. */
  static final int SLOTS = 1 << 17;

  private static final int MASK = SLOTS - 1;
  private ServerHealth[] owners = {};

  /** The slots with a point; not every slot's owner is written down, since a start would wait. */
  private BitSet taken = new BitSet();

  /** Points of a server of unit weight. */
  private final int unitPoints;

  SlotTable(int points) {
    unitPoints = points;
  }

  /** Makes the table anew; a pure function of the servers, whatever order they came in. */
  void rebuild(List<ServerHealth> servers, boolean weighted) {
    owners = new ServerHealth[SLOTS];
    taken = new BitSet(SLOTS);
    double unit = weighted ? unit(servers) : 1;
    for (ServerHealth server : servers) {
      int points = weighted ? points(server.entry.weight() / unit) : unitPoints;
      for (int p = 0; p < points; p++) {
        int slot = (int) Hashes.mix(Hashes.mix(server.id) + p) & MASK;
        if (owners[slot] == null || server.id < owners[slot].id) {
          owners[slot] = server;
          taken.set(slot);
        }
      }
    }
  }

  /** A power of four near the greatest weight: it hardly ever changes when servers come and go. */
  private static double unit(List<ServerHealth> servers) {
    double greatest = 0;
    for (ServerHealth server : servers) {
      greatest = Math.max(greatest, LoadCap.usable(server.entry.weight()));
    }
    return greatest > 0 ? Math.pow(4, Math.rint(Math.log(greatest) / Math.log(4))) : 1;
  }

  /** Points of a weight in units, bounded so that an odd weight neither vanishes nor floods. */
  private int points(double weight) {
    double points = Math.rint(unitPoints * LoadCap.usable(weight));
    return (int) Math.max(4, Math.min(2 * unitPoints, points));
  }

  /** The owner of slot h(key, attempt); null if there are no servers. */
  ServerHealth owner(long keyHash, int attempt) {
    int slot = taken.nextSetBit((int) Hashes.mix(keyHash + attempt * 0x9E3779B97F4A7C15L) & MASK);
    slot = slot < 0 ? taken.nextSetBit(0) : slot;
    return slot < 0 ? null : owners[slot];
  }
}
