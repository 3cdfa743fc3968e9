package beamspread.policy;

import beamspread.model.Outcome;
import beamspread.model.Request;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Records a balancer's actions and every violation of the four rules. */
final class RuleChecker extends BalancerFixtures.Recorder {
  /** An attempt, tracked independently of the balancer. */
  static final class Attempt {
    final long server;
    final double sentAt;
    boolean inFlight = true;
    boolean mayHaveRun = true;

    Attempt(long server, double sentAt) {
      this.server = server;
      this.sentAt = sentAt;
    }
  }

  /** A request, tracked independently of the balancer. */
  static final class TrackedRequest {
    final Request request;
    final Settings.ServiceClass type;
    final double deadline;
    final List<Attempt> attempts = new ArrayList<>();
    boolean ended;

    TrackedRequest(Request request, Settings.ServiceClass type, double deadline) {
      this.request = request;
      this.type = type;
      this.deadline = deadline;
    }
  }

  final Settings settings;
  final Map<String, TrackedRequest> requests = new LinkedHashMap<>();
  final Map<Long, ServerEntry> servers = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  final Map<Long, List<Double>> coldSends = new HashMap<>();
  double now;

  /** Requests per second that a warm server can serve. */
  double warmRate = Double.POSITIVE_INFINITY;

  RuleChecker(Settings settings) {
    this.settings = settings;
  }

  void recordArrival(Request request) {
    Settings.ServiceClass type =
        settings.services().stream()
            .filter(s -> s.name().equals(request.serviceClass()))
            .findFirst()
            .orElseThrow();
    requests.put(request.id(), new TrackedRequest(request, type, now + request.budget()));
  }

  void recordEnd(String id, int attempt, Outcome.Result result) {
    Attempt trackedAttempt = requests.get(id).attempts.get(attempt);
    trackedAttempt.inFlight = false;
    trackedAttempt.mayHaveRun = !result.provesNotRun();
    if (result == Outcome.Result.OK) {
      requests.get(id).ended = true;
    }
  }

  /** An attempt that the balancer has given up. */
  record GivenUp(String requestId, int attempt) {}

  private final List<GivenUp> givenUp = new ArrayList<>();

  @Override
  public void giveUp(String requestId, int attempt) {
    givenUp.add(new GivenUp(requestId, attempt));
  }

  /** Returns the attempts that were given up since the last call. */
  List<GivenUp> takeGivenUp() {
    List<GivenUp> taken = List.copyOf(givenUp);
    givenUp.clear();
    return taken;
  }

  /** Records the end of an attempt that was given up, and returns it. */
  Attempt recordEnd(GivenUp ended, Outcome.Result result) {
    recordEnd(ended.requestId(), ended.attempt(), result);
    return requests.get(ended.requestId()).attempts.get(ended.attempt());
  }

  void recordClientGone(String id) {
    requests.get(id).ended = true;
  }

  /** Records a violation for each request that was not answered in time. */
  void checkDeadlines() {
    for (TrackedRequest tracked : requests.values()) {
      if (!tracked.ended && now > tracked.deadline + settings.contract().answerGrace()) {
        violations.add("rule 1: no answer for " + tracked.request.id());
        tracked.ended = true;
      }
    }
  }

  @Override
  public void send(String requestId, long server, double timeout) {
    super.send(requestId, server, timeout);
    TrackedRequest tracked = requests.get(requestId);
    ServerEntry target = servers.get(server);
    if (tracked.ended) {
      violations.add("rule 1: sent after its final answer " + requestId);
    }
    if (target == null || target.state() != ServerEntry.State.READY) {
      violations.add("rule 3: sent to a server that is not ready");
    }
    if (tracked.attempts.size() >= settings.limits().maxAttempts()) {
      violations.add("rule 2: too many attempts");
    }
    Attempt first = null;
    for (Attempt trackedAttempt : tracked.attempts) {
      if (trackedAttempt.inFlight && !settings.limits().parallelAttempts()) {
        violations.add("rule 2: two attempts in flight together");
      }
      if (first == null && (trackedAttempt.inFlight || trackedAttempt.mayHaveRun)) {
        first = trackedAttempt;
      }
    }
    if (first != null && target != null) {
      if (tracked.type.effect() == Settings.Effect.UNSAFE) {
        violations.add("rule 2: unsafe request sent again");
      } else if (tracked.type.effect() == Settings.Effect.KEYED) {
        ServerEntry firstServer = servers.get(first.server);
        boolean sameGroup =
            switch (tracked.type.group()) {
              case ALL -> true;
              case ZONE -> firstServer != null && firstServer.zone().equals(target.zone());
              case CELL -> firstServer != null && firstServer.cell() == target.cell();
            };
        if (!sameGroup || now > first.sentAt + tracked.type.repeatWindow()) {
          violations.add("rule 2: keyed request sent where or when repeats are not dropped");
        }
      }
    }
    tracked.attempts.add(new Attempt(server, now));
    double warmWithin = settings.contract().warmWithin();
    if (target != null && target.startedAt() > 0 && now - target.startedAt() < warmWithin) {
      List<Double> sends = coldSends.computeIfAbsent(server, s -> new ArrayList<>());
      sends.add(now);
      double window = settings.contract().overloadFor();
      double coldCapacity = settings.contract().coldFrom();
      double warmth = coldCapacity + (1 - coldCapacity) * (now - target.startedAt()) / warmWithin;
      long sendsInWindow = sends.stream().filter(at -> at > now - window).count();
      if (sendsInWindow > settings.contract().overloadFactor() * warmth * warmRate * window + 2) {
        violations.add("rule 4: cold server overloaded");
      }
    }
  }

  @Override
  public void refuse(String requestId, double retryAfter) {
    super.refuse(requestId, retryAfter);
    TrackedRequest tracked = recordFinalAnswer(requestId);
    boolean mayHaveRun =
        tracked.attempts.stream()
            .anyMatch(trackedAttempt -> trackedAttempt.inFlight || trackedAttempt.mayHaveRun);
    boolean repeatIsSafe =
        tracked.type.effect() == Settings.Effect.SAFE
            || (tracked.type.effect() == Settings.Effect.KEYED
                && tracked.type.group() == Settings.Group.ALL);
    if (mayHaveRun && !repeatIsSafe) {
      violations.add("rule 2: refused what may have run");
    }
  }

  @Override
  public void fail(String requestId) {
    super.fail(requestId);
    recordFinalAnswer(requestId);
  }

  private TrackedRequest recordFinalAnswer(String requestId) {
    TrackedRequest tracked = requests.get(requestId);
    if (tracked.ended) {
      violations.add("rule 1: answered twice " + requestId);
    }
    tracked.ended = true;
    return tracked;
  }
}
