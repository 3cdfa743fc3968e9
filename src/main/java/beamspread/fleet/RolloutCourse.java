package beamspread.fleet;

import beamspread.fleet.api.Api;
import beamspread.fleet.api.Outcome;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** One run of a rollout: leases of all its instances, then batch after batch. */
final class RolloutCourse {
  private final Fleet fleet;
  private final RolloutRunner.Limits limits;
  private final WorkLease workLease;
  private final RolloutTask task;
  private final RolloutPlan plan;
  private final RolloutResults results;
  private final AgentLeases leases;
  private final Rollout rollout;
  private final LinkedBlockingQueue<AgentBatch.Ended> ended = new LinkedBlockingQueue<>();

  RolloutCourse(
      Fleet fleet,
      RolloutRunner.Limits limits,
      WorkLease workLease,
      RolloutTask task,
      RolloutResults results) {
    this.fleet = fleet;
    this.limits = limits;
    this.workLease = workLease;
    this.task = task;
    this.plan = task.plan();
    this.results = results;
    this.leases = new AgentLeases(fleet, workLease, limits, task);
    this.rollout = new Rollout(plan);
  }

  /** Runs to the end; each target has a result then. */
  void run() {
    String state = "refused";
    try {
      leases.keepRenewing();
      if (takeLeases()) {
        state = "stopped";
        if (!carryOut()) {
          state = "ended";
        }
      }
    } finally {
      leases.end(state);
    }
  }

  /** Takes the leases; false if somebody else holds one, and then nothing is begun anywhere. */
  private boolean takeLeases() {
    Map<String, List<Target>> byAgent = new TreeMap<>();
    for (Target target : plan.targets()) {
      byAgent.computeIfAbsent(target.agent(), agent -> new ArrayList<>()).add(target);
    }
    for (var entry : byAgent.entrySet()) {
      try {
        leases.take(entry.getKey(), entry.getValue());
      } catch (AgentCallException e) {
        if (e.is("held") || e.is(Api.STALE_TOKEN)) {
          refuseAll(e);
          return false;
        }
        leaveOut(entry.getValue(), e);
      }
    }
    return true;
  }

  private void leaveOut(List<Target> targets, AgentCallException why) {
    Outcome outcome = why.problem() != null ? Outcome.REFUSED : Outcome.FAILED;
    for (Target target : targets) {
      rollout.neverBegun(target);
      results.add(target, outcome, "nothing was begun: " + why.getMessage());
    }
  }

  private void refuseAll(AgentCallException why) {
    Map<String, Api.Holder> holders = new HashMap<>();
    why.problem().holders().forEach(holder -> holders.put(holder.instance(), holder));
    for (Target target : plan.targets()) {
      if (!results.has(target)) {
        boolean there = why.getMessage().startsWith("agent " + target.agent() + ":");
        Api.Holder holder = there ? holders.get(target.instance()) : null;
        results.add(target, Outcome.REFUSED, refusal(holder, why));
      }
    }
  }

  private static String refusal(Api.Holder holder, AgentCallException why) {
    return holder == null
        ? "nothing was begun: " + why.getMessage()
        : "held by "
            + holder.by()
            + " for "
            + holder.kind()
            + " "
            + holder.operation()
            + " since "
            + Instant.ofEpochMilli(holder.sinceMs());
  }

  /** Batch after batch; whether it stopped before all were begun. */
  private boolean carryOut() {
    while (true) {
      Rollout.Decision decision = rollout.next(System.nanoTime());
      if (!(decision instanceof Rollout.Decision.Wait) && !workLease.held()) {
        return results.addMissing(plan.targets(), Outcome.REFUSED, RolloutRunner.LOST);
      }
      if (decision instanceof Rollout.Decision.Done done) {
        done.skipped().forEach(one -> results.add(one, Outcome.SKIPPED, done.why()));
        return !done.skipped().isEmpty();
      }
      try {
        if (decision instanceof Rollout.Decision.Begin begin) {
          begin(begin.targets());
        } else if (decision instanceof Rollout.Decision.Wait wait) {
          await(wait);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        results.addMissing(plan.targets(), Outcome.UNKNOWN, "interrupted here");
        return true;
      }
    }
  }

  private void begin(List<Target> targets) {
    Map<String, List<AgentBatch.Work>> work = new TreeMap<>();
    for (Target target : targets) {
      AgentBatch.Work one = new AgentBatch.Work(target, leases.token(target), task.attempt(target));
      work.computeIfAbsent(target.agent(), agent -> new ArrayList<>()).add(one);
    }
    work.forEach(this::begin);
  }

  private void begin(String agent, List<AgentBatch.Work> work) {
    AgentBatch.Patience patience =
        new AgentBatch.Patience(limits.stepMs() * 1_000_000, fleet.inventory().patienceNanos());
    AgentClient client = fleet.clients().get(agent);
    fleet
        .calls()
        .execute(
            new AgentBatch(
                client, task.operation(), plan.kind(), work, ended, workLease, patience));
  }

  private void await(Rollout.Decision.Wait wait) throws InterruptedException {
    if (wait.untilNanos() == Long.MAX_VALUE) {
      AgentBatch.Ended one = ended.take();
      results.add(one.target(), one.result());
      rollout.ended(System.nanoTime(), one.target(), one.result().outcome());
    } else {
      TimeUnit.NANOSECONDS.sleep(wait.untilNanos() - System.nanoTime());
    }
  }
}
