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

/** Watches a balancer's actions and notes every breach of the four rules. */
final class RuleChecker extends Rig.Recorder {
  /** An attempt as the world knows it. */
  static final class Attempt {
    final long server;
    final double sentAt;
    boolean out = true;
    boolean mayHaveRun = true;

    Attempt(long server, double sentAt) {
      this.server = server;
      this.sentAt = sentAt;
    }
  }

  /** A request as the world knows it. */
  static final class Tracked {
    final Request request;
    final Settings.ServiceClass type;
    final double deadline;
    final List<Attempt> attempts = new ArrayList<>();
    boolean over;

    Tracked(Request request, Settings.ServiceClass type, double deadline) {
      this.request = request;
      this.type = type;
      this.deadline = deadline;
    }
  }

  final Settings settings;
  final Map<String, Tracked> requests = new LinkedHashMap<>();
  final Map<Long, ServerEntry> servers = new HashMap<>();
  final List<String> breaches = new ArrayList<>();
  final Map<Long, List<Double>> coldSends = new HashMap<>();
  double now;

  /** Sends a second that a warm server takes. */
  double warmRate = Double.POSITIVE_INFINITY;

  RuleChecker(Settings settings) {
    this.settings = settings;
  }

  void arrives(Request request) {
    Settings.ServiceClass type =
        settings.services().stream()
            .filter(s -> s.name().equals(request.serviceClass()))
            .findFirst()
            .orElseThrow();
    requests.put(request.id(), new Tracked(request, type, now + request.budget()));
  }

  void ends(String id, int attempt, Outcome.Result result) {
    Attempt a = requests.get(id).attempts.get(attempt);
    a.out = false;
    a.mayHaveRun = !result.provesNotRun();
    if (result == Outcome.Result.OK) {
      requests.get(id).over = true;
    }
  }

  void gone(String id) {
    requests.get(id).over = true;
  }

  /** Notes requests that had no answer in time. */
  void checkDeadlines() {
    for (Tracked t : requests.values()) {
      if (!t.over && now > t.deadline + settings.contract().answerGrace()) {
        breaches.add("rule 1: no answer for " + t.request.id());
        t.over = true;
      }
    }
  }

  @Override
  public void send(String requestId, long server, double timeout) {
    super.send(requestId, server, timeout);
    Tracked t = requests.get(requestId);
    ServerEntry to = servers.get(server);
    if (t.over) {
      breaches.add("rule 1: sent after its end " + requestId);
    }
    if (to == null || to.state() != ServerEntry.State.READY) {
      breaches.add("rule 3: sent to a server that is not ready");
    }
    if (t.attempts.size() >= settings.limits().maxAttempts()) {
      breaches.add("rule 2: too many attempts");
    }
    Attempt first = null;
    for (Attempt a : t.attempts) {
      if (a.out && !settings.limits().parallelAttempts()) {
        breaches.add("rule 2: two attempts out together");
      }
      if (first == null && (a.out || a.mayHaveRun)) {
        first = a;
      }
    }
    if (first != null && to != null) {
      if (t.type.effect() == Settings.Effect.UNSAFE) {
        breaches.add("rule 2: unsafe request sent again");
      } else if (t.type.effect() == Settings.Effect.KEYED) {
        ServerEntry was = servers.get(first.server);
        boolean same =
            switch (t.type.group()) {
              case ALL -> true;
              case ZONE -> was != null && was.zone().equals(to.zone());
              case CELL -> was != null && was.cell() == to.cell();
            };
        if (!same || now > first.sentAt + t.type.repeatWindow()) {
          breaches.add("rule 2: keyed request sent where or when repeats are not dropped");
        }
      }
    }
    t.attempts.add(new Attempt(server, now));
    double warmWithin = settings.contract().warmWithin();
    if (to != null && to.startedAt() > 0 && now - to.startedAt() < warmWithin) {
      List<Double> sends = coldSends.computeIfAbsent(server, s -> new ArrayList<>());
      sends.add(now);
      double window = settings.contract().overloadFor();
      double from = settings.contract().coldFrom();
      double warmth = from + (1 - from) * (now - to.startedAt()) / warmWithin;
      long recent = sends.stream().filter(at -> at > now - window).count();
      if (recent > settings.contract().overloadFactor() * warmth * warmRate * window + 2) {
        breaches.add("rule 4: cold server pushed over");
      }
    }
  }

  @Override
  public void refuse(String requestId, double retryAfter) {
    super.refuse(requestId, retryAfter);
    Tracked t = answered(requestId);
    boolean mayHaveRun = t.attempts.stream().anyMatch(a -> a.out || a.mayHaveRun);
    boolean harmless =
        t.type.effect() == Settings.Effect.SAFE
            || (t.type.effect() == Settings.Effect.KEYED && t.type.group() == Settings.Group.ALL);
    if (mayHaveRun && !harmless) {
      breaches.add("rule 2: refused what may have run");
    }
  }

  @Override
  public void fail(String requestId) {
    super.fail(requestId);
    answered(requestId);
  }

  private Tracked answered(String requestId) {
    Tracked t = requests.get(requestId);
    if (t.over) {
      breaches.add("rule 1: answered twice " + requestId);
    }
    t.over = true;
    return t;
  }
}
