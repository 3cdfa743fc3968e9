package beamspread.policy;

import beamspread.model.Request;
import beamspread.model.Settings;
import java.util.ArrayList;
import java.util.List;

/** A request and its attempts: what rules 1 and 2 (one answer, no effect twice) are kept by. */
final class PendingRequest {
  /** What is known of an attempt. */
  private enum Fate {
    OUT,
    NOT_RUN,
    MAY_HAVE_RUN
  }

  /** One attempt. */
  static final class Attempt {
    final ServerHealth server;
    final double sentAt;
    private Fate fate = Fate.OUT;

    /** Whether its end says something of a connection, not of the server. */
    boolean excused;

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

  /** How many owners of the key's sequence share it, and with which of them to begin. */
  int homes = 1;

  int firstHome;

  /** How many jumps look for a server in the balancer's own zone before any may take it. */
  int localJumps;

  final List<Attempt> tries = new ArrayList<>(2);
  int out;
  boolean answered;
  boolean streaming;

  /** Whether it is held for a fetch. */
  boolean waiting;

  /** Whether it has been held for as long as it may be. */
  boolean impatient;

  /** Which attempt is a likely fetch, of what, and whether it counts among those in flight. */
  int fetchAttempt = -1;

  long fetchPair;
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

  void sent(ServerHealth server, double now) {
    tries.add(new Attempt(server, now));
    out++;
  }

  /** Notes an attempt's end; false if it was not out. */
  boolean ended(int attempt, boolean provenNotRun) {
    if (!isOut(attempt)) {
      return false;
    }
    tries.get(attempt).fate = provenNotRun ? Fate.NOT_RUN : Fate.MAY_HAVE_RUN;
    out--;
    return true;
  }

  boolean isOut(int attempt) {
    return attempt >= 0 && attempt < tries.size() && tries.get(attempt).fate == Fate.OUT;
  }

  /** The attempt number to hash the key with at the given jump: its homes in turn, then onward. */
  int hashAttempt(int jump) {
    if (jump < localJumps) {
      return (firstHome + jump) % localJumps;
    }
    int onward = jump - localJumps;
    return onward < homes ? (firstHome + onward) % homes : onward;
  }

  /**
   * Whether this server has had its chance. Guards against leaving the cache that holds the key for
   * one that lacks it, only because a connection broke; once, lest a server that breaks each
   * connection get every attempt. It costs a trip where the server has just died.
   */
  boolean tried(ServerHealth server) {
    List<Attempt> here = tries.stream().filter(attempt -> attempt.server == server).toList();
    return here.size() > 1 || here.stream().anyMatch(attempt -> !attempt.excused);
  }

  /**
   * Rule 2: whether one more attempt may go to this server. Guards against an effect carried out
   * twice: everything may be sent while no attempt can have run; after that only what is safe to
   * repeat, or what the same group of servers still remembers.
   */
  boolean maySend(ServerHealth server, double now, Settings.Limits limits) {
    boolean alone = out == 0 || limits.parallelAttempts();
    if (answered || streaming || tries.size() >= limits.maxAttempts() || !alone) {
      return false;
    }
    Attempt first = firstThatMayHaveRun();
    return switch (type.effect()) {
      case SAFE -> true;
      case UNSAFE -> first == null;
      case KEYED ->
          first == null
              || (type.group().holds(first.server.entry, server.entry)
                  && now + limits.connectTimeout() < first.sentAt + type.repeatWindow());
    };
  }

  /** Rule 2: whether the client may be told that a new try does no harm. */
  boolean mayRefuse() {
    return type.effect() == Settings.Effect.SAFE
        || firstThatMayHaveRun() == null
        || (type.effect() == Settings.Effect.KEYED && type.group() == Settings.Group.ALL);
  }

  private Attempt firstThatMayHaveRun() {
    for (Attempt attempt : tries) {
      if (attempt.fate != Fate.NOT_RUN) {
        return attempt;
      }
    }
    return null;
  }
}
