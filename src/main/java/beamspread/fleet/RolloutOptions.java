package beamspread.fleet;

import beamspread.fleet.api.Kind;

/**
 * How a rollout goes about it.
 *
 * @param batch most instances begun together
 * @param maxUnavailable most instances that may be unavailable at a time
 * @param maxPerZone most of them in one zone, 0 for no bound of its own
 * @param pauseMs from the end of a batch to the beginning of the next
 * @param stopAfter failures after which nothing more is begun, 0 for never
 */
public record RolloutOptions(
    int batch, int maxUnavailable, int maxPerZone, long pauseMs, int stopAfter) {

  /**
   * What holds where nothing is said: a reload interrupts nobody and goes to all at once, what
   * interrupts goes to a quarter of them, and the first failure stops the rest.
   */
  public static RolloutOptions usual(Kind kind, int targets) {
    int most = kind.interrupts() ? Math.max(1, targets / 4) : Math.max(1, targets);
    return new RolloutOptions(most, most, 0, 0, 1);
  }
}
