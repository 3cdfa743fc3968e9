package beamspread.policy;

import beamspread.model.Hashes;
import beamspread.model.Outcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps fetches within what the origin bears. It remembers which keys each server answered lately;
 * a request for another is a likely fetch. One fetch of a key at a server goes first and the others
 * wait for it, and fetches in flight stay under a window that shrinks when many fail or come late.
 * Guards against the jam in which failed fetches keep keys out of the caches for good.
 */
final class OriginGuard {
  /** Keys remembered, and how long at first; the time is then learned from hits and misses. */
  private static final int MEMORY = 1 << 15;

  private static final double FIRST_HORIZON = 8;

  private static final double LONGEST_HORIZON = 60;

  /** The window shrinks once in this part of an aim: fetches of a moment fail together. */
  private static final double ROUND = 0.5;

  private static final double SHRINK = 0.7;

  /** The part of fetches that may fail before the window shrinks, at the servers that fare best. */
  static final double FAIR_LOSSES = 0.15;

  /** What one fetch weighs in the losses of all: two by chance are not yet trouble. */
  private static final double LOSS_GAIN = 0.05;

  final Map<Long, Double> answeredAt = new LinkedHashMap<>(1024, 0.75f, true);
  private final Map<Long, List<PendingRequest>> flights = new HashMap<>();
  final ArrayDeque<PendingRequest> parked = new ArrayDeque<>();
  private double horizon = FIRST_HORIZON;
  private double window = Double.POSITIVE_INFINITY;

  /** Likely fetches in flight, those at strained servers aside. */
  int fetches;

  /** The rate of likely fetches that the window never refuses. */
  double floor;

  private double tokens;
  private double tokensAt;
  private double losses;

  /** What even the servers that fare best lose: what only a part turns away is its own. */
  double leastLosses;

  private double shrunkAt;

  static long pair(PendingRequest p, ServerHealth server) {
    return Hashes.mix(p.keyHash ^ Hashes.mix(server.id));
  }

  boolean expectsMiss(double now, long pair) {
    Double at = answeredAt.get(pair);
    return at == null || now - at > horizon;
  }

  /** Lets a request wait for the fetch that is out for its key at its server, if there is one. */
  boolean follow(long pair, PendingRequest p) {
    List<PendingRequest> followers = flights.get(pair);
    return followers != null && followers.add(p);
  }

  /** Whether the window leaves no room for a fetch now. */
  boolean full(double now) {
    if (fetches < window) {
      return false;
    }
    // A part of requests always goes: a balancer that sees little takes many keys for fetches that
    // others have long had cached, and only asking tells. The part shrinks with the share that
    // fares well: an origin whose queue only holds what nobody waits for must be let drain.
    tokens = Math.min(2, tokens + (now - tokensAt) * floor * (1 - losses) * (1 - losses));
    tokensAt = now;
    return tokens < 1;
  }

  /** Whether more fetches fail than is fair. */
  boolean troubled() {
    return Math.max(losses, leastLosses) > FAIR_LOSSES;
  }

  void park(PendingRequest p) {
    parked.removeIf(old -> !old.waiting); // Else the longer a jam, the more would be kept.
    parked.addLast(p);
  }

  /** The newest parked request: it has the most time left. Null if there is none or no room. */
  PendingRequest unpark(double now) {
    while (!parked.isEmpty() && !full(now)) {
      PendingRequest p = parked.pollLast();
      if (p.waiting && !p.answered) {
        return p;
      }
    }
    return null;
  }

  /** A likely fetch goes out; one at a strained server says nothing of the origin. */
  void started(double now, long pair, PendingRequest p, boolean strained) {
    if (fetches >= window) {
      tokens--;
    }
    p.fetchAttempt = p.tries.size();
    p.fetchPair = pair;
    p.fetchCounted = !strained;
    if (p.fetchCounted) {
      fetches++;
    }
    flights.putIfAbsent(pair, new ArrayList<>());
  }

  /** A likely fetch is over, and may tell of the origin; returns the requests that waited. */
  List<PendingRequest> over(
      double now, PendingRequest p, boolean good, boolean bad, boolean tells) {
    losses += tells && (good || bad) ? LOSS_GAIN * ((bad ? 1 : 0) - losses) : 0;
    if (bad && troubled() && now - shrunkAt > ROUND * p.type.aim()) {
      window = Math.max(1, Math.min(window, fetches) * SHRINK);
      shrunkAt = now;
    } else if (good && fetches >= window / 2) {
      window += 1 / window;
    }
    if (p.fetchCounted) {
      p.fetchCounted = false;
      fetches--;
    }
    p.fetchAttempt = -1;
    List<PendingRequest> followers = flights.remove(p.fetchPair);
    return followers == null ? List.of() : followers;
  }

  /** A server answered a request for a key: it holds it now. */
  void answered(double now, long pair, Outcome.Note note) {
    Double at = answeredAt.put(pair, now);
    // Guards against growth for hours: what is older than any horizon tells nothing any more.
    var eldest = answeredAt.entrySet().iterator().next();
    if (answeredAt.size() > MEMORY || eldest.getValue() < now - LONGEST_HORIZON) {
      answeredAt.remove(eldest.getKey());
    }
    if (at != null) {
      double age = now - at;
      if (note == Outcome.Note.MISS && age < horizon) {
        horizon = Math.max(0.5, horizon * 0.98);
      } else if (note == Outcome.Note.HIT && age > horizon) {
        horizon = Math.min(LONGEST_HORIZON, horizon * 1.02);
      }
    }
  }
}
