package beamspread.fleet;

import beamspread.fleet.api.Api;
import beamspread.fleet.api.Kind;
import beamspread.fleet.api.Outcome;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** The part of a batch that one agent does: begun once, and followed until each has ended. */
final class AgentBatch implements Runnable {
  private static final long POLL_MILLIS = 2000;
  private static final long AGAIN_MILLIS = 100;

  /** One instance's part. */
  record Work(Target target, long token, int attempt) {}

  /** What came of an instance. */
  record Ended(Target target, Result result) {}

  /**
   * How long things may take.
   *
   * @param stepNanos one step
   * @param patienceNanos an agent that is away
   */
  record Patience(long stepNanos, long patienceNanos) {}

  private final AgentClient agent;
  private final String operation;
  private final Kind kind;
  private final Map<String, Work> open = new ConcurrentHashMap<>();
  private final LinkedBlockingQueue<Ended> ended;
  private final WorkLease lease;
  private final Patience patience;
  private final long giveUpAt;
  private long heardAt = System.nanoTime();

  AgentBatch(
      AgentClient agent,
      String operation,
      Kind kind,
      List<Work> work,
      LinkedBlockingQueue<Ended> ended,
      WorkLease lease,
      Patience patience) {
    this.agent = agent;
    this.operation = operation;
    this.kind = kind;
    this.lease = lease;
    this.patience = patience;
    this.giveUpAt = System.nanoTime() + patience.stepNanos();
    this.ended = ended;
    work.forEach(one -> open.put(one.target().instance(), one));
  }

  @Override
  public void run() {
    try {
      if (begin()) {
        follow();
      }
    } catch (RuntimeException e) {
      endAll(Outcome.UNKNOWN, "trouble here: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      endAll(Outcome.UNKNOWN, "interrupted here");
    }
  }

  private boolean away() {
    return System.nanoTime() - heardAt > patience.patienceNanos();
  }

  private boolean begin() throws InterruptedException {
    List<Api.StepAsk> steps =
        open.values().stream()
            .map(work -> new Api.StepAsk(work.target().instance(), work.token(), work.attempt()))
            .toList();
    boolean mayHaveArrived = false;
    while (true) {
      if (!lease.held()) {
        endAll(
            mayHaveArrived ? Outcome.UNKNOWN : Outcome.REFUSED,
            mayHaveArrived ? "it may have been begun, and the lease is lost" : RolloutRunner.LOST);
        return false;
      }
      try {
        agent.steps(new Api.StepsAsk(operation, kind, steps));
        heardAt = System.nanoTime();
        return true;
      } catch (AgentCallException e) {
        if (e.problem() != null && !mayHaveArrived) {
          endAll(
              e.is("record") ? Outcome.FAILED : Outcome.REFUSED,
              "nothing was begun: " + e.getMessage());
          return false;
        }
        if (e.problem() != null) {
          // An earlier call may have begun them; the agent's record has the truth.
          heardAt = System.nanoTime();
          return true;
        }
        mayHaveArrived |= e.mayHaveArrived();
        if (away()) {
          endAll(
              mayHaveArrived ? Outcome.UNKNOWN : Outcome.FAILED,
              (mayHaveArrived ? "it may have been begun: " : "nothing was begun: ")
                  + e.getMessage());
          return false;
        }
        TimeUnit.MILLISECONDS.sleep(AGAIN_MILLIS);
      }
    }
  }

  private void follow() throws InterruptedException {
    int seen = 0;
    while (!open.isEmpty()) {
      if (System.nanoTime() - giveUpAt > 0) {
        endAll(
            Outcome.UNKNOWN,
            "still under way after " + patience.stepNanos() / 1_000_000_000 + " s");
        return;
      }
      try {
        Api.OperationView view = agent.operation(operation, POLL_MILLIS, seen);
        heardAt = System.nanoTime();
        seen = take(view);
      } catch (AgentCallException e) {
        if (e.is("unknown_operation")) {
          endAll(
              Outcome.UNKNOWN,
              "the agent no longer has on record what it had taken on: its record is older");
        } else if (away()) {
          endAll(Outcome.UNKNOWN, "begun, and then no word of it: " + e.getMessage());
        } else {
          TimeUnit.MILLISECONDS.sleep(AGAIN_MILLIS);
        }
      }
    }
  }

  /** Takes in what has ended; returns how many steps of the operation have. */
  private int take(Api.OperationView view) {
    int over = 0;
    Map<String, Api.StepView> known = new HashMap<>();
    for (Api.StepView step : view.steps()) {
      over += step.outcome() == null ? 0 : 1;
      known.put(step.instance() + " " + step.attempt(), step);
    }
    for (Work work : List.copyOf(open.values())) {
      String instance = work.target().instance();
      Api.StepView step = known.get(instance + " " + work.attempt());
      if (step == null) {
        end(
            work,
            Outcome.UNKNOWN,
            "the agent has no such step on record: it was not begun, or its record is older",
            0);
      } else if (step.outcome() != null) {
        end(work, step.outcome(), step.reason(), Math.max(0, step.endedMs() - step.beganMs()));
      }
    }
    return over;
  }

  private void end(Work work, Outcome outcome, String reason, long tookMs) {
    if (open.remove(work.target().instance()) != null) {
      ended.add(
          new Ended(
              work.target(),
              Result.of(work.target(), outcome, reason, tookMs, System.currentTimeMillis())));
    }
  }

  private void endAll(Outcome outcome, String reason) {
    List.copyOf(open.values()).forEach(work -> end(work, outcome, reason, 0));
  }
}
