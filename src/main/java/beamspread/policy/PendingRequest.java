package beamspread.policy;

import beamspread.model.Request;
import beamspread.model.Settings;
import java.util.ArrayList;
import java.util.List;

/** A request and its attempts; enforces rule 1 (one answer) and rule 2 (no effect twice). */
final class PendingRequest {
  /** Whether an attempt is in flight and, once it has ended, whether it may have run. */
  private enum AttemptState {
    IN_FLIGHT,
    NOT_RUN,
    MAY_HAVE_RUN
  }

  static final class Attempt {
    final ServerHealth server;
    final double sentAt;
    private AttemptState state = AttemptState.IN_FLIGHT;

    /** Whether its reply, or one before it on its connection, has begun and paused. */
    boolean stalled;

    /** Whether it failed because of a connection, not because of its server. */
    boolean connectionFault;

    Attempt(ServerHealth server, double sentAt) {
      this.server = server;
      this.sentAt = sentAt;
    }
  }

  final Request request;
  final Settings.ServiceClass type;
  final long keyHash;
  final long serial;
  final double arrived;
  final double deadline;

  /** Number of owners that share the key, and the index of the owner to start with. */
  int owners = 1;

  int firstOwner;

  /** Number of jumps that only accept servers in the balancer's own zone. */
  int zoneJumps;

  final List<Attempt> attempts = new ArrayList<>(2);
  int inFlight;
  boolean answered;
  boolean streaming;

  /** Whether it must get no further attempt. */
  boolean noFurtherAttempts;

  /** Whether it is held until a fetch ends. */
  boolean held;

  /** Whether it has been held for the longest allowed time. */
  boolean holdExpired;

  /** Number of the attempt that is a likely fetch, or -1; its key and server; if it is counted. */
  int fetchAttempt = -1;

  long fetchPairHash;
  boolean fetchCounted;

  PendingRequest(
      Request request, Settings.ServiceClass type, long keyHash, long serial, double now) {
    this.request = request;
    this.type = type;
    this.keyHash = keyHash;
    this.serial = serial;
    this.arrived = now;
    this.deadline = now + request.budget();
  }

  void recordSent(ServerHealth server, double now) {
    attempts.add(new Attempt(server, now));
    inFlight++;
  }

  /** Records the end of an attempt; false if it was not in flight. */
  boolean recordEnd(int attempt, boolean provenNotRun) {
    if (!isInFlight(attempt)) {
      return false;
    }
    attempts.get(attempt).state = provenNotRun ? AttemptState.NOT_RUN : AttemptState.MAY_HAVE_RUN;
    inFlight--;
    return true;
  }

  boolean isInFlight(int attempt) {
    return attempt >= 0
        && attempt < attempts.size()
        && attempts.get(attempt).state == AttemptState.IN_FLIGHT;
  }

  /** Returns whether each attempt in flight, of one at least, waits for a reply that has paused. */
  boolean onlyStalledInFlight() {
    return inFlight > 0
        && attempts.stream()
            .allMatch(attempt -> attempt.state != AttemptState.IN_FLIGHT || attempt.stalled);
  }

  /** Returns the number to hash the key with at this jump: its owners in turn, then onward. */
  int hashNumber(int jump) {
    if (jump < zoneJumps) {
      return (firstOwner + jump) % zoneJumps;
    }
    int fallbackJump = jump - zoneJumps;
    return fallbackJump < owners ? (firstOwner + fallbackJump) % owners : fallbackJump;
  }

  /**
   * Returns whether this server must not get another attempt. After a broken connection the same
   * server is tried once more, since other caches lack the key; only once, since a server that
   * breaks each connection would get every attempt. If the server has just failed, this costs one
   * round trip.
   */
  boolean attemptsUsedUp(ServerHealth server) {
    List<Attempt> atServer = attempts.stream().filter(attempt -> attempt.server == server).toList();
    return atServer.size() > 1 || atServer.stream().anyMatch(attempt -> !attempt.connectionFault);
  }

  /**
   * Rule 2: returns whether another attempt may be sent to this server without the risk of carrying
   * out an effect twice. While no attempt can have run, any request may be sent; after that only
   * safe requests, and keyed ones whose repeats the server's group still drops.
   */
  boolean maySend(ServerHealth server, double now, Settings.Limits limits) {
    boolean attemptAllowed = inFlight == 0 || limits.parallelAttempts();
    return attemptAllowed && maySendAfterCurrent(server, now, limits);
  }

  /**
   * Rule 2: returns whether another attempt may be sent to this server once none is in flight, even
   * if those that are in flight now have run.
   */
  boolean maySendAfterCurrent(ServerHealth server, double now, Settings.Limits limits) {
    if (answered || streaming || noFurtherAttempts || attempts.size() >= limits.maxAttempts()) {
      return false;
    }
    Attempt first = firstThatMayHaveRun();
    return switch (type.effect()) {
      case SAFE -> true;
      case UNSAFE -> first == null;
      case KEYED ->
          first == null
              || (type.group().includesBoth(first.server.entry, server.entry)
                  && now + limits.connectTimeout() < first.sentAt + type.repeatWindow());
    };
  }

  /** Rule 2: returns whether a refusal may state that repeating the request is safe. */
  boolean mayRefuse() {
    return type.effect() == Settings.Effect.SAFE
        || firstThatMayHaveRun() == null
        || (type.effect() == Settings.Effect.KEYED && type.group() == Settings.Group.ALL);
  }

  private Attempt firstThatMayHaveRun() {
    for (Attempt attempt : attempts) {
      if (attempt.state != AttemptState.NOT_RUN) {
        return attempt;
      }
    }
    return null;
  }
}
