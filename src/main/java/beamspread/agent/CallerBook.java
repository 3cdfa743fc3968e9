package beamspread.agent;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * Who is connected to an agent, and who gives way to whom when too many are. Free of I/O; every set
 * is bounded by {@code most}.
 *
 * <p>Guards against callers that connect and ask for nothing whole: they would lock the operators
 * out, and let leases run out that a rollout still needs. Whoever has waited longest without a
 * whole request gives way to a new one; whoever has shown the token, or has a request under way,
 * never does. When nobody is left that gives way, the last places go to callers that renew or give
 * back leases, and to no others.
 *
 * @param <C> a caller's connection
 */
final class CallerBook<C> {
  private final int most;
  private final int kept;
  private final LinkedHashSet<C> all = new LinkedHashSet<>();

  /** Those without a whole request and without the token, longest waiting first. */
  private final LinkedHashSet<C> waiting = new LinkedHashSet<>();

  private final LinkedHashSet<C> trusted = new LinkedHashSet<>();

  /** Those that came when only the kept places were left. */
  private final LinkedHashSet<C> limited = new LinkedHashSet<>();

  /**
   * @param most how many may be connected
   * @param kept how many of these places are for calls that renew or give back leases
   */
  CallerBook(int most, int kept) {
    if (kept < 0 || kept >= most) {
      throw new IllegalArgumentException(kept + " of " + most + " places");
    }
    this.most = most;
    this.kept = kept;
  }

  private boolean full() {
    return all.size() - limited.size() >= most - kept;
  }

  /** Those of whom one must go before one more comes in, in the order in which they give way. */
  List<C> inTheWay() {
    List<C> callers = new ArrayList<>();
    if (full()) {
      callers.addAll(waiting);
      callers.removeAll(limited);
    }
    if (callers.isEmpty() && all.size() >= most) {
      callers.addAll(waiting);
    }
    return callers;
  }

  /** Whether a caller still has asked for nothing whole and shown no token. */
  boolean waits(C caller) {
    return waiting.contains(caller);
  }

  /** Takes a new caller in; false if there is no place. */
  boolean enter(C caller) {
    if (all.size() >= most) {
      return false;
    }
    if (full()) {
      limited.add(caller);
    }
    all.add(caller);
    waiting.add(caller);
    return true;
  }

  /**
   * Whether a caller may be given whatever it asks. One that came to a kept place may once there is
   * room among the others.
   */
  boolean mayAskAll(C caller) {
    if (!full()) {
      limited.remove(caller);
    }
    return !limited.contains(caller);
  }

  /** A caller has shown the token: it never gives way from here on. */
  void trust(C caller) {
    if (all.contains(caller)) {
      trusted.add(caller);
      waiting.remove(caller);
    }
  }

  /** A whole request has come. */
  void asks(C caller) {
    waiting.remove(caller);
  }

  /** Its answer is written. */
  void answered(C caller) {
    if (all.contains(caller) && !trusted.contains(caller)) {
      waiting.add(caller);
    }
  }

  /** It has gone. */
  void leaves(C caller) {
    all.remove(caller);
    waiting.remove(caller);
    trusted.remove(caller);
    limited.remove(caller);
  }
}
