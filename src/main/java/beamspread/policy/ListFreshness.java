package beamspread.policy;

import beamspread.model.ListEvidence;
import beamspread.model.Settings;

/**
 * Determines how long the list of servers stays usable without a confirmation by discovery.
 *
 * <p>A change counts as delivered some seconds after discovery had it and was reachable, whether or
 * not it arrived; for the drain grace after that, requests may still be sent to a server that has
 * left. A list that was not confirmed for longer may contain servers to which nothing may be sent,
 * without any sign which ones: it has expired, and no request is sent by it. Only discovery's own
 * word that nothing is missing starts the time again. A call that is refused does not: between the
 * last word and the refusal discovery may have been reachable and had changes.
 *
 * <p>Times are seconds of the balancer's clock.
 */
final class ListFreshness {
  /** A change counts as delivered this long after discovery had it and was reachable. */
  private static final double DELIVERY_SECONDS = 6;

  /** The same after discovery has moved, until it confirms the list at its new address. */
  private static final double DELIVERY_AFTER_MOVE_SECONDS = 4;

  /**
   * Part of the drain grace kept back for the time from a decision to the write to the socket: a
   * process may be delayed by up to 0.15 s between reading its clock and writing.
   */
  private static final double SEND_DELAY_RESERVE_SECONDS = 0.25;

  private final boolean pushed;
  private final double usableGrace;

  /** Changes since this time may be missing; positive infinity before the first evidence. */
  private double missingChangesSince = Double.POSITIVE_INFINITY;

  private double deliverySeconds = DELIVERY_SECONDS;

  /** Whether discovery was reachable since the last confirmation without giving a list. */
  private boolean reached;

  ListFreshness(Settings settings) {
    pushed = !settings.callsForList();
    usableGrace = Math.max(0, settings.contract().drainGrace() - SEND_DELAY_RESERVE_SECONDS);
  }

  /** Records evidence about discovery at this time. */
  void record(double time, ListEvidence evidence) {
    switch (evidence) {
      case STARTED -> missingChangesSince = time;
      case CONFIRMED -> {
        missingChangesSince =
            Math.max(time, Double.isInfinite(missingChangesSince) ? time : missingChangesSince);
        deliverySeconds = DELIVERY_SECONDS;
        reached = false;
      }
      case REACHED -> reached = true;
      case UNREACHABLE -> {
        // Says nothing of the time before, in which changes may have been made.
      }
      case MOVED -> {
        missingChangesSince =
            Math.min(missingChangesSince + deliverySeconds, time + DELIVERY_AFTER_MOVE_SECONDS)
                - DELIVERY_AFTER_MOVE_SECONDS;
        deliverySeconds = DELIVERY_AFTER_MOVE_SECONDS;
        reached = false;
      }
    }
  }

  /** Returns when the list expires without further evidence; positive infinity for never. */
  double expiresAt() {
    // A pushed list comes from the agent on this machine: what it has counts as delivered.
    return missingChangesSince + (pushed && reached ? 0 : deliverySeconds) + usableGrace;
  }

  /** Returns whether the list has expired, so that no request may be sent by it. */
  boolean isExpired(double now) {
    return now >= expiresAt();
  }

  /** Returns the time since which changes may be missing. */
  double missingChangesSince() {
    return missingChangesSince;
  }
}
