package beamspread.fleet;

import beamspread.fleet.api.Api;
import beamspread.fleet.api.Json;
import beamspread.fleet.api.Outcome;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Carries a rollout out: takes leases of all its instances first, from one agent after the other in
 * the order of their names, so that of two operators one gets all and the other is told at once;
 * then begins batch after batch and waits for what the agents have on record of them. What no agent
 * says is told as unknown.
 */
public final class RolloutRunner {
  /** Said of instances that were not begun, since the lease was lost. */
  static final String LOST = "not begun: the lease that this runs under is lost";

  /**
   * How the runner goes about it.
   *
   * @param ttlMs how long leases last without being renewed
   * @param stepMs how long one step may take before it is given up on
   */
  public record Limits(long ttlMs, long stepMs) {
    /** What holds where nothing is said. */
    public static Limits usual() {
      return new Limits(15_000, 180_000);
    }
  }

  private final Fleet fleet;
  private final Limits limits;
  private final Consumer<Result> progress;
  private final WorkLease workLease;
  private final String session = UUID.randomUUID().toString();

  /** A runner over this fleet; {@code progress} hears of each result as it comes. */
  public RolloutRunner(Fleet fleet, Limits limits, Consumer<Result> progress) {
    this(fleet, limits, progress, WorkLease.NONE);
  }

  /** The same under a lease: it shows its token with each call, and stops when it is lost. */
  public RolloutRunner(Fleet fleet, Limits limits, Consumer<Result> progress, WorkLease workLease) {
    this.fleet = fleet;
    this.limits = limits;
    this.progress = progress;
    this.workLease = workLease;
    fleet.clients().values().forEach(client -> client.fence(workLease.token()));
  }

  /**
   * Runs a rollout to its end.
   *
   * @param operation its id
   * @param by who asks for it
   * @param attempts by target, the number of this try where it is not the first
   * @param before results that an earlier run has had already
   */
  public Report run(
      String operation,
      String by,
      RolloutPlan plan,
      Map<Target, Integer> attempts,
      List<Result> before) {
    long started = System.currentTimeMillis();
    long begunAt = System.nanoTime();
    Map<Target, Result> results = new LinkedHashMap<>();
    Map<Target, Long> tokens = new HashMap<>();
    Rollout rollout = new Rollout(plan);
    RolloutPlan whole = withEarlier(plan, before);
    Map<String, List<Target>> byAgent = new TreeMap<>();
    plan.targets()
        .forEach(
            target -> byAgent.computeIfAbsent(target.agent(), a -> new ArrayList<>()).add(target));
    List<String> leased = new CopyOnWriteArrayList<>();
    ScheduledExecutorService renewing =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "leases");
              thread.setDaemon(true);
              return thread;
            });
    String state = "refused";
    try {
      renewing.scheduleAtFixedRate(
          () -> renew(operation, leased),
          limits.ttlMs() / 3,
          limits.ttlMs() / 3,
          TimeUnit.MILLISECONDS);
      if (lease(operation, by, plan, whole, byAgent, leased, tokens, rollout, results)) {
        state = "stopped";
        if (!carryOut(operation, plan, attempts, tokens, rollout, results)) {
          state = "ended";
        }
      }
    } finally {
      renewing.shutdownNow();
      for (String agent : leased) {
        try {
          fleet.clients().get(agent).release(new Api.LeaseEnd(session, operation, state));
        } catch (AgentCallException e) {
          // The leases run out by themselves.
        }
      }
    }
    List<Result> all = new ArrayList<>(before);
    all.addAll(results.values());
    all.sort(Comparator.comparing(Result::agent).thenComparing(Result::instance));
    return new Report(
        operation,
        plan.kind(),
        by,
        started,
        (System.nanoTime() - begunAt) / 1_000_000,
        List.copyOf(all),
        List.of());
  }

  /** The plan as it was at first: who resumes it anew must not lose what was done already. */
  private static RolloutPlan withEarlier(RolloutPlan plan, List<Result> before) {
    List<Target> targets = new ArrayList<>();
    before.forEach(one -> targets.add(new Target(one.instance(), one.agent(), one.zone())));
    targets.addAll(plan.targets());
    return new RolloutPlan(plan.kind(), plan.options(), targets);
  }

  /** Takes the leases; false if somebody else holds one, and then nothing is begun anywhere. */
  private boolean lease(
      String operation,
      String by,
      RolloutPlan plan,
      RolloutPlan whole,
      Map<String, List<Target>> byAgent,
      List<String> leased,
      Map<Target, Long> tokens,
      Rollout rollout,
      Map<Target, Result> results) {
    for (var entry : byAgent.entrySet()) {
      EarlierSteps earlier = new EarlierSteps(workLease, limits.stepMs());
      AgentClient client = fleet.clients().get(entry.getKey());
      List<Target> targets = entry.getValue();
      try {
        if (client == null) {
          throw new AgentCallException(
              "agent " + entry.getKey() + " is not in the inventory", false, null);
        }
        Api.LeaseGiven given =
            earlier.await(
                client,
                agent ->
                    agent.lease(
                        new Api.LeaseAsk(
                            session,
                            operation,
                            plan.kind(),
                            by,
                            targets.stream().map(Target::instance).toList(),
                            limits.ttlMs(),
                            Json.tree(whole))));
        leased.add(entry.getKey());
        targets.forEach(target -> tokens.put(target, given.tokens().get(target.instance())));
      } catch (AgentCallException e) {
        if (e.is("held") || e.is(Api.STALE_TOKEN)) {
          refuseAll(plan, results, e);
          return false;
        }
        for (Target target : targets) {
          rollout.neverBegun(target);
          boolean answered = e.problem() != null;
          note(
              results,
              target,
              answered ? Outcome.REFUSED : Outcome.FAILED,
              "nothing was begun: " + e.getMessage(),
              0);
        }
      }
    }
    return true;
  }

  private void refuseAll(RolloutPlan plan, Map<Target, Result> results, AgentCallException e) {
    Map<String, Api.Holder> holders = new HashMap<>();
    e.problem().holders().forEach(holder -> holders.put(holder.instance(), holder));
    for (Target target : plan.targets()) {
      if (results.containsKey(target)) {
        continue;
      }
      Api.Holder holder =
          e.getMessage().startsWith("agent " + target.agent() + ":")
              ? holders.get(target.instance())
              : null;
      note(
          results,
          target,
          Outcome.REFUSED,
          holder == null
              ? "nothing was begun: " + e.getMessage()
              : "held by "
                  + holder.by()
                  + " for "
                  + holder.kind()
                  + " "
                  + holder.operation()
                  + " since "
                  + java.time.Instant.ofEpochMilli(holder.sinceMs()),
          0);
    }
  }

  private void note(
      Map<Target, Result> results, Target target, Outcome outcome, String reason, long tookMs) {
    Result result = Result.of(target, outcome, reason, tookMs, System.currentTimeMillis());
    results.put(target, result);
    progress.accept(result);
  }

  private void renew(String operation, List<String> agents) {
    for (String agent : agents) {
      fleet
          .calls()
          .execute(
              () -> {
                try {
                  fleet.clients().get(agent).renew(new Api.LeaseEnd(session, operation, null));
                } catch (AgentCallException e) {
                  // Steps under a lease that is gone are refused by their token.
                }
              });
    }
  }

  /** Batch after batch; whether it stopped before all were begun. */
  private boolean carryOut(
      String operation,
      RolloutPlan plan,
      Map<Target, Integer> attempts,
      Map<Target, Long> tokens,
      Rollout rollout,
      Map<Target, Result> results) {
    LinkedBlockingQueue<AgentBatch.Ended> ended = new LinkedBlockingQueue<>();
    while (true) {
      Rollout.Decision decision = rollout.next(System.nanoTime());
      if (!(decision instanceof Rollout.Decision.Wait) && !workLease.held()) {
        return skipRest(plan, results);
      }
      if (decision instanceof Rollout.Decision.Done done) {
        done.skipped().forEach(one -> note(results, one, Outcome.SKIPPED, done.why(), 0));
        return !done.skipped().isEmpty();
      }
      try {
        if (decision instanceof Rollout.Decision.Begin begin) {
          Map<String, List<AgentBatch.Work>> work = new TreeMap<>();
          for (Target target : begin.targets()) {
            work.computeIfAbsent(target.agent(), a -> new ArrayList<>())
                .add(
                    new AgentBatch.Work(
                        target, tokens.get(target), attempts.getOrDefault(target, 1)));
          }
          work.forEach((agent, part) -> begin(agent, operation, plan, part, ended));
        } else if (decision instanceof Rollout.Decision.Wait wait) {
          if (wait.untilNanos() == Long.MAX_VALUE) {
            AgentBatch.Ended one = ended.take();
            results.put(one.target(), one.result());
            progress.accept(one.result());
            rollout.ended(System.nanoTime(), one.target(), one.result().outcome());
          } else {
            TimeUnit.NANOSECONDS.sleep(wait.untilNanos() - System.nanoTime());
          }
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        for (Target target : plan.targets()) {
          if (!results.containsKey(target)) {
            note(results, target, Outcome.UNKNOWN, "interrupted here", 0);
          }
        }
        return true;
      }
    }
  }

  private void begin(
      String agent,
      String operation,
      RolloutPlan plan,
      List<AgentBatch.Work> part,
      LinkedBlockingQueue<AgentBatch.Ended> ended) {
    var patience =
        new AgentBatch.Patience(limits.stepMs() * 1_000_000, fleet.inventory().patienceNanos());
    AgentClient client = fleet.clients().get(agent);
    fleet
        .calls()
        .execute(new AgentBatch(client, operation, plan.kind(), part, ended, workLease, patience));
  }

  /** Notes that nothing more is begun; whether anything was left. */
  private boolean skipRest(RolloutPlan plan, Map<Target, Result> results) {
    boolean left = false;
    for (Target target : plan.targets()) {
      if (!results.containsKey(target)) {
        note(results, target, Outcome.REFUSED, LOST, 0);
        left = true;
      }
    }
    return left;
  }
}
