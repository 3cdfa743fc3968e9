package beamspread.policy;

import beamspread.model.Settings;

/** Computes the cap on the requests that this balancer may have in flight at a server. */
final class LoadCap {
  /** Mean number of requests in flight at a server above which two often coincide by chance. */
  static final double FREQUENT_OVERLAP_MEAN = 0.1;

  private LoadCap() {}

  /**
   * Returns ⌈(1+ε)·n·w/Σw⌉, but at least this balancer's part of the floor, and at least 2 if two
   * requests often coincide.
   *
   * @param inFlight n, the balancer's requests in flight, including the new one
   * @param weight w, the server's weight
   * @param totalWeight Σw, the sum of the weights of all ready servers
   * @param settings contain ε and the floor
   */
  static int cap(int inFlight, double weight, double totalWeight, Settings settings) {
    double mean = totalWeight > 0 ? inFlight * valid(weight) / totalWeight : 0;
    int floor = Math.max(mean > FREQUENT_OVERLAP_MEAN ? 2 : 1, settings.capFloorPart());
    return (int) Math.max(floor, Math.ceil((1 + settings.spread().epsilon()) * mean - 1e-9));
  }

  /** Returns the weight, or 0 if it is negative, not a number or implausibly large. */
  static double valid(double weight) {
    return weight > 0 && weight < 1e12 ? weight : 0;
  }
}
