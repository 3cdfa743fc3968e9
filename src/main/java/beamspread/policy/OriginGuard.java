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
 * Limits fetches to what the origin can serve. It remembers which keys each server has answered
 * recently; a request for any other key is a likely fetch. Of several likely fetches of one key at
 * one server, one is sent and the others wait for it. A window limits the fetches in flight and
 * shrinks if many fail or are late. Without it, an overloaded origin fails most fetches, so keys
 * never enter the caches and the load on the origin never falls.
 */
final class OriginGuard {
  /** Maximum number of remembered pairs of key and server. */
  private static final int MAX_REMEMBERED_PAIRS = 1 << 15;

  /** Initial and longest time for which an answered key is expected to be cached. */
  private static final double INITIAL_HORIZON_SECONDS = 8;

  private static final double MAX_HORIZON_SECONDS = 60;

  /** The window shrinks at most once in this part of an aim: concurrent fetches fail together. */
  private static final double SHRINK_INTERVAL_PART_OF_AIM = 0.5;

  private static final double SHRINK_FACTOR = 0.7;

  /** Share of fetches that may fail, at the servers with the fewest failures, before it shrinks. */
  static final double MAX_FAILURE_RATE = 0.15;

  /** Weight of one fetch in the moving average of failures: two chance failures stay below it. */
  private static final double FAILURE_WEIGHT = 0.05;

  final Map<Long, Double> answeredAt = new LinkedHashMap<>(1024, 0.75f, true);
  private final Map<Long, List<PendingRequest>> followersByPair = new HashMap<>();
  final ArrayDeque<PendingRequest> parked = new ArrayDeque<>();
  private double horizon = INITIAL_HORIZON_SECONDS;
  private double window = Double.POSITIVE_INFINITY;

  /** Likely fetches in flight, without those at outlier servers. */
  int fetchesInFlight;

  /** Likely fetches a second that are admitted even if the window is full. */
  double minFetchRate;

  private double tokens;
  private double tokensUpdatedAt;
  private double failureRate;

  /** Failure rate at the servers with the fewest failures; higher rates are not the origin's. */
  double bestFailureRate;

  private double lastShrinkAt;

  static long pairHash(PendingRequest pending, ServerHealth server) {
    return Hashes.mix(pending.keyHash ^ Hashes.mix(server.id));
  }

  boolean expectsMiss(double now, long pairHash) {
    Double previousAnswerAt = answeredAt.get(pairHash);
    return previousAnswerAt == null || now - previousAnswerAt > horizon;
  }

  /** Lets a request wait for the fetch in flight of its key at its server; false if none is. */
  boolean joinFetch(long pairHash, PendingRequest pending) {
    List<PendingRequest> followers = followersByPair.get(pairHash);
    return followers != null && followers.add(pending);
  }

  /** Returns whether the window admits no fetch now. */
  boolean isFull(double now) {
    if (fetchesInFlight < window) {
      return false;
    }
    // A minimum rate is always admitted: a balancer with little traffic expects misses for keys
    // that others have had cached long ago, and only an attempt shows it. The rate falls with the
    // success rate, so that an origin whose queue holds only abandoned fetches can drain it.
    tokens =
        Math.min(
            2,
            tokens
                + (now - tokensUpdatedAt) * minFetchRate * (1 - failureRate) * (1 - failureRate));
    tokensUpdatedAt = now;
    return tokens < 1;
  }

  /** Returns whether so many fetches fail that the origin is probably overloaded. */
  boolean isFailing() {
    return Math.max(failureRate, bestFailureRate) > MAX_FAILURE_RATE;
  }

  void park(PendingRequest pending) {
    parked.removeIf(old -> !old.held); // Otherwise the queue grows with a long outage.
    parked.addLast(pending);
  }

  /** Removes the newest parked request, which has the most time left; null if none may be sent. */
  PendingRequest nextParked(double now) {
    while (!parked.isEmpty() && !isFull(now)) {
      PendingRequest pending = parked.pollLast();
      if (pending.held && !pending.answered) {
        return pending;
      }
    }
    return null;
  }

  /** Records that a likely fetch is sent; one at an outlier server does not use the window. */
  void recordStart(double now, long pairHash, PendingRequest pending, boolean atOutlier) {
    if (fetchesInFlight >= window) {
      tokens--;
    }
    pending.fetchAttempt = pending.attempts.size();
    pending.fetchPairHash = pairHash;
    pending.fetchCounted = !atOutlier;
    if (pending.fetchCounted) {
      fetchesInFlight++;
    }
    followersByPair.putIfAbsent(pairHash, new ArrayList<>());
  }

  /**
   * Records the end of a likely fetch.
   *
   * @param countsForOrigin whether the result counts in the failure rate of the origin
   * @return the requests that waited for it
   */
  List<PendingRequest> recordEnd(
      double now, PendingRequest pending, boolean inTime, boolean failed, boolean countsForOrigin) {
    failureRate +=
        countsForOrigin && (inTime || failed)
            ? FAILURE_WEIGHT * ((failed ? 1 : 0) - failureRate)
            : 0;
    if (failed
        && isFailing()
        && now - lastShrinkAt > SHRINK_INTERVAL_PART_OF_AIM * pending.type.aim()) {
      window = Math.max(1, Math.min(window, fetchesInFlight) * SHRINK_FACTOR);
      lastShrinkAt = now;
    } else if (inTime && fetchesInFlight >= window / 2) {
      window += 1 / window;
    }
    if (pending.fetchCounted) {
      pending.fetchCounted = false;
      fetchesInFlight--;
    }
    pending.fetchAttempt = -1;
    List<PendingRequest> followers = followersByPair.remove(pending.fetchPairHash);
    return followers == null ? List.of() : followers;
  }

  /** Records that a server answered a request for a key, so that it has the key cached now. */
  void recordAnswer(double now, long pairHash, Outcome.Note note) {
    Double previousAnswerAt = answeredAt.put(pairHash, now);
    // Bounds memory: entries older than the longest horizon are of no use.
    var eldest = answeredAt.entrySet().iterator().next();
    if (answeredAt.size() > MAX_REMEMBERED_PAIRS || eldest.getValue() < now - MAX_HORIZON_SECONDS) {
      answeredAt.remove(eldest.getKey());
    }
    if (previousAnswerAt != null) {
      double age = now - previousAnswerAt;
      if (note == Outcome.Note.MISS && age < horizon) {
        horizon = Math.max(0.5, horizon * 0.98);
      } else if (note == Outcome.Note.HIT && age > horizon) {
        horizon = Math.min(MAX_HORIZON_SECONDS, horizon * 1.02);
      }
    }
  }
}
