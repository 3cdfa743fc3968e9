package beamspread.lab;

import beamspread.model.Settings;
import java.util.ArrayDeque;

/**
 * What a box that has just started can do, and whether it is pushed over: its ability rises evenly
 * from the cold share to the whole, and it falls where the work that came within the window of the
 * contract is more than a multiple of what it could do in that time.
 */
final class Warmth {
  /** Work that has come, in core-nanoseconds at the usual speed. */
  private record Work(long at, long nanos, int node) {}

  private final Settings.Contract contract;
  private final double ability;
  private final ArrayDeque<Work> window = new ArrayDeque<>();
  private long startedAt = Long.MIN_VALUE;
  private long inWindow;

  /**
   * @param ability of the warm box, in cores of the usual speed
   */
  Warmth(Settings.Contract contract, double ability) {
    this.contract = contract;
    this.ability = ability;
  }

  /** The box has started. */
  void started(long now) {
    startedAt = now;
    window.clear();
    inWindow = 0;
  }

  boolean warm(long now) {
    return startedAt == Long.MIN_VALUE || now - startedAt >= contract.warmWithin() * 1e9;
  }

  /** The part of its ability that it has. */
  double part(long now) {
    return warm(now)
        ? 1
        : contract.coldFrom()
            + (1 - contract.coldFrom()) * (now - startedAt) / (contract.warmWithin() * 1e9);
  }

  /** Work comes from a node; whether it pushes the box over. */
  boolean falls(long now, long nanos, int node) {
    if (warm(now)) {
      return false;
    }
    window.add(new Work(now, nanos, node));
    inWindow += nanos;
    long from = now - (long) (contract.overloadFor() * 1e9);
    while (window.peek().at() < from) {
      inWindow -= window.poll().nanos();
    }
    double able = ability * part(now) * contract.overloadFor() * 1e9;
    return inWindow > contract.overloadFactor() * able;
  }

  /** What came within the window, for the story. */
  String story(long now) {
    long nodes = window.stream().mapToInt(Work::node).distinct().count();
    return String.format(
        java.util.Locale.ROOT,
        "%d requests and handshakes, %.2f s of work, from %d nodes within %.1f s, where it could do"
            + " %.2f s",
        window.size(),
        inWindow / 1e9,
        nodes,
        contract.overloadFor(),
        ability * part(now) * contract.overloadFor());
  }
}
