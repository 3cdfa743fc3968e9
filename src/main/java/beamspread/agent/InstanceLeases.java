package beamspread.agent;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Who may act on which instance. A lease is held by a session, lasts until it is given back or not
 * renewed in time, and has a fencing token: numbers that only grow, so that a command that arrives
 * late, under a lease that has passed to somebody else, is known by its token. Times are
 * nanoseconds of a clock that never runs backwards; after a restart of the agent leases last their
 * whole time again, since how much of it had passed is not known.
 */
final class InstanceLeases {
  /**
   * A lease.
   *
   * @param session the id that only its holder knows
   * @param sinceMillis when it was given, for people
   */
  record Lease(
      String instance,
      long token,
      String session,
      String operation,
      String kind,
      String by,
      long sinceMillis,
      long ttlNanos) {}

  private static final class Held {
    final Lease lease;
    long until;

    Held(Lease lease, long until) {
      this.lease = lease;
      this.until = until;
    }
  }

  private final Map<String, Held> held = new TreeMap<>();
  private long lastToken;

  /** Tokens are above this one. */
  InstanceLeases(long lastToken) {
    this.lastToken = lastToken;
  }

  /** A lease from the record. */
  void restore(long now, Lease lease) {
    held.put(lease.instance(), new Held(lease, now + lease.ttlNanos()));
    lastToken = Math.max(lastToken, lease.token());
  }

  /** The leases that keep a session from these instances; empty if none do. */
  List<Lease> conflicts(long now, String session, Collection<String> instances) {
    List<Lease> conflicts = new ArrayList<>();
    for (String instance : instances) {
      Lease lease = holder(now, instance);
      if (lease != null && !lease.session().equals(session)) {
        conflicts.add(lease);
      }
    }
    return conflicts;
  }

  /**
   * Gives leases of all these instances, for which there must be no conflicts. One that the session
   * holds already keeps its token: asking twice does not take a lease away from oneself.
   */
  List<Lease> take(
      long now,
      String session,
      String operation,
      String kind,
      String by,
      Collection<String> instances,
      long ttlNanos,
      long nowMillis) {
    List<Lease> leases = new ArrayList<>();
    for (String instance : instances) {
      Held mine = held.get(instance);
      Lease lease =
          mine != null && mine.lease.session().equals(session) && now - mine.until < 0
              ? mine.lease
              : new Lease(instance, ++lastToken, session, operation, kind, by, nowMillis, ttlNanos);
      held.put(instance, new Held(lease, now + ttlNanos));
      leases.add(lease);
    }
    return leases;
  }

  /** Prolongs a session's leases; returns how many there are. */
  int renew(long now, String session) {
    int renewed = 0;
    for (Held one : held.values()) {
      if (one.lease.session().equals(session) && now - one.until < 0) {
        one.until = now + one.lease.ttlNanos();
        renewed++;
      }
    }
    return renewed;
  }

  /** Gives a session's leases back; returns them. */
  List<Lease> release(String session) {
    List<Lease> released = new ArrayList<>();
    held.values().removeIf(one -> one.lease.session().equals(session) && released.add(one.lease));
    return released;
  }

  /** Takes away what was not renewed in time; returns it. */
  List<Lease> expire(long now) {
    List<Lease> expired = new ArrayList<>();
    held.values().removeIf(one -> now - one.until >= 0 && expired.add(one.lease));
    return expired;
  }

  /** Who holds an instance; null if nobody does. */
  Lease holder(long now, String instance) {
    Held one = held.get(instance);
    return one == null || now - one.until >= 0 ? null : one.lease;
  }

  /** Why a command with this token may not act on an instance; null if it may. */
  String refusal(long now, String instance, long token, String operation) {
    Lease lease = holder(now, instance);
    if (lease == null) {
      return "the lease of " + instance + " has run out or was given back (token " + token + ")";
    }
    if (lease.token() != token || !lease.operation().equals(operation)) {
      return instance
          + " is held by "
          + lease.by()
          + " for "
          + lease.kind()
          + " "
          + lease.operation()
          + ": token "
          + token
          + " is out of date";
    }
    return null;
  }

  /** How many leases there are. */
  int size() {
    return held.size();
  }
}
