package beamspread.policy;

import beamspread.model.ListEvidence;
import beamspread.model.Settings;

/**
 * Until when the list of servers may be acted on without a word from its service.
 *
 * <p>A change counts as told some seconds after the service had it and could be reached, whether or
 * not it arrived, and requests may go to a server that has left for the grace more. A list that was
 * not confirmed for so long may name servers that nothing may be sent to, and nothing here tells
 * which: it has expired, and no request goes out by it. A service that can't be reached has nothing
 * to tell, so the time counts anew while all that is known of it is that it can't be reached.
 *
 * <p>Times are seconds of the balancer's clock.
 */
final class ListFreshness {
  /** When a change counts as told, after the service had it and could be reached. */
  private static final double TOLD_AFTER = 6;

  /** The same from when the service has moved, until it has confirmed the list there. */
  private static final double TOLD_AFTER_MOVE = 4;

  /**
   * The part of the grace that is left to the way from a decision to the socket. Guards against a
   * process that is held up between reading its clock and writing, for up to 0.15 s.
   */
  private static final double RESERVE = 0.25;

  private final boolean pushed;
  private final double usableGrace;

  /** From when on changes may be missed; positive infinity while no evidence is kept at all. */
  private double missesSince = Double.POSITIVE_INFINITY;

  private double toldAfter = TOLD_AFTER;

  /** Whether the service could be reached since the last confirmation, without giving a list. */
  private boolean reached;

  ListFreshness(Settings settings) {
    pushed = !settings.asksForList();
    usableGrace = Math.max(0, settings.contract().drainGrace() - RESERVE);
  }

  /** Takes in what is known of the list's service at this time. */
  void evidence(double at, ListEvidence evidence) {
    switch (evidence) {
      case STARTED -> missesSince = at;
      case CONFIRMED -> {
        missesSince = Math.max(at, Double.isInfinite(missesSince) ? at : missesSince);
        toldAfter = TOLD_AFTER;
        reached = false;
      }
      case REACHED -> reached = true;
      case UNREACHABLE -> {
        // What changed before the service was seen to answer may have been told long ago.
        if (!reached) {
          missesSince = Math.max(at, missesSince);
        }
      }
      case MOVED -> {
        missesSince = Math.min(missesSince + toldAfter, at + TOLD_AFTER_MOVE) - TOLD_AFTER_MOVE;
        toldAfter = TOLD_AFTER_MOVE;
        reached = false;
      }
    }
  }

  /** When the list expires if nothing more is heard; positive infinity for never. */
  double expiresAt() {
    // A pushed list is with the agent beside this process, and what that has counts at once.
    return missesSince + (pushed && reached ? 0 : toldAfter) + usableGrace;
  }

  /** Whether no request may go out by the list. */
  boolean expired(double now) {
    return now >= expiresAt();
  }

  /** From when on changes may be missed. */
  double missesSince() {
    return missesSince;
  }
}
