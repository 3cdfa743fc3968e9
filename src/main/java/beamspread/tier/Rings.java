package beamspread.tier;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.IntPredicate;

/**
 * Determines which members observe each other: all members are arranged on several rings, each in a
 * different pseudo-random order, and observe their neighbours on them. The number of observers of a
 * member does not depend on the size of the tier, all members that know the same membership compute
 * the same rings, and observation is mutual. The union of the rings is an expander graph, so gossip
 * along it reaches all members in few steps (Law, Siu 2003).
 *
 * <p>Where a neighbour is not healthy, the members beyond it observe as well, up to the first
 * healthy one. So when most members fail at once the remaining ones still find one another, and
 * each failed member has up to six healthy observers.
 */
final class Rings {
  /** Three rings give each member six neighbours, as many as Rapid uses observers. */
  static final int RING_COUNT = 3;

  /** Maximum number of steps on one ring in one direction in search of a healthy member. */
  static final int MAX_STEPS = 8;

  private final int[][] membersByRing = new int[RING_COUNT][];
  private final Map<Integer, int[]> positionsByMember = new HashMap<>();

  /** Arranges these members on the rings of the tier with this tag. */
  Rings(int tag, int[] members) {
    for (int ring = 0; ring < RING_COUNT; ring++) {
      long salt = Hashing.hash(tag, ring);
      long[] keyed = new long[members.length];
      for (int i = 0; i < members.length; i++) {
        keyed[i] = Hashing.hash(salt, members[i]) & ~0xFFFFL | members[i];
      }
      Arrays.sort(keyed);
      membersByRing[ring] = new int[members.length];
      for (int i = 0; i < keyed.length; i++) {
        membersByRing[ring][i] = (int) (keyed[i] & 0xFFFF);
        positionsByMember
                .computeIfAbsent(membersByRing[ring][i], number -> new int[RING_COUNT])[ring] =
            i;
      }
    }
  }

  /**
   * Returns the direct neighbours of a member, without duplicates and in ascending order; empty if
   * it is on no ring.
   */
  int[] neighbours(int number) {
    return subjects(number, other -> true);
  }

  /**
   * Returns the members that a member observes, without duplicates and in ascending order: on each
   * ring in each direction the first healthy one and those before it.
   */
  int[] subjects(int number, IntPredicate healthy) {
    return walk(number, healthy, true);
  }

  /**
   * Returns the observers that decide about a member: on each ring in each direction the first
   * healthy one.
   */
  int[] observers(int number, IntPredicate healthy) {
    return walk(number, healthy, false);
  }

  private int[] walk(int number, IntPredicate healthy, boolean includeSkipped) {
    int[] positions = positionsByMember.get(number);
    int size = membersByRing[0].length;
    if (positions == null || size < 2) {
      return new int[0];
    }
    TreeSet<Integer> found = new TreeSet<>();
    for (int ring = 0; ring < RING_COUNT; ring++) {
      for (int step = -1; step <= 1; step += 2) {
        for (int distance = 1; distance <= Math.min(MAX_STEPS, size - 1); distance++) {
          int other = membersByRing[ring][Math.floorMod(positions[ring] + step * distance, size)];
          boolean isHealthy = healthy.test(other);
          if (isHealthy || includeSkipped) {
            found.add(other);
          }
          if (isHealthy) {
            break;
          }
        }
      }
    }
    return found.stream().mapToInt(Integer::intValue).toArray();
  }
}
