package beamspread.agent;

import beamspread.fleet.api.Api;
import beamspread.fleet.api.Json;
import beamspread.fleet.api.Kind;
import beamspread.lease.FencingToken;
import beamspread.record.RecordChange;
import beamspread.record.Rows;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * The calls that act: leases of instances, and the steps of operations. Each runs on the agent's
 * thread, and under the fencing token that its caller shows.
 */
final class OperationCalls {
  private static final String ID = "[A-Za-z0-9._-]{1,80}";
  private static final long LEAST_TTL_MILLIS = 100;
  private static final long LONGEST_TTL_MILLIS = 600_000;
  private static final int MOST_INSTANCES_ASKED = 10_000;

  private final AgentCore core;
  private final Map<String, Managed> instances;
  private final InstanceLeases leases;
  private final Fencing fencing;
  private final RecordKeeper keeper;
  private final OperationViews views;

  OperationCalls(
      AgentCore core,
      Map<String, Managed> instances,
      InstanceLeases leases,
      Fencing fencing,
      RecordKeeper keeper,
      OperationViews views) {
    this.core = core;
    this.instances = instances;
    this.leases = leases;
    this.fencing = fencing;
    this.keeper = keeper;
    this.views = views;
  }

  private static void check(boolean holds, String message) throws Refusal {
    if (!holds) {
      throw new Refusal(400, "bad_request", message);
    }
  }

  /**
   * Takes a later owner's token on before it does anything. What earlier owners have begun here
   * ends first; what of theirs arrives from now on is refused.
   */
  CompletableFuture<Api.LeaseTold> fence(FencingToken token) {
    return core.fenced(
        token,
        () -> {
          check(token != null, "no " + Api.FENCING_HEADER + " is shown");
          for (String name : instances.keySet()) {
            Step step = instances.get(name).holding();
            if (step != null && mayBeEarlier(name, token)) {
              throw finishing(name, step);
            }
          }
          return CompletableFuture.completedFuture(new Api.LeaseTold(token.name(), token.epoch()));
        });
  }

  /** Whether the step under way on an instance may be an earlier owner's of the same lease. */
  private boolean mayBeEarlier(String instance, FencingToken token) {
    InstanceLeases.Lease lease = leases.holder(core.now(), instance);
    return lease == null || fencing.mayBeEarlier(lease.session(), token);
  }

  private static Refusal finishing(String instance, Step step) {
    return new Refusal(
        409,
        Api.FINISHING,
        instance
            + " has "
            + step.kind().word()
            + " "
            + step.operation()
            + " under way: it ends first");
  }

  CompletableFuture<Api.LeaseGiven> lease(Api.LeaseAsk ask, FencingToken token) {
    return core.fenced(
        token,
        () -> {
          check(ask.lease() != null && ask.lease().matches(ID), "lease is no id");
          check(ask.operation() != null && ask.operation().matches(ID), "operation is no id");
          check(ask.kind() != null, "kind is missing");
          check(
              ask.by() != null && !ask.by().isBlank() && ask.by().length() <= 100,
              "by must name who asks, in at most 100 characters");
          check(
              ask.ttlMs() >= LEAST_TTL_MILLIS && ask.ttlMs() <= LONGEST_TTL_MILLIS,
              "ttl_ms must be " + LEAST_TTL_MILLIS + " to " + LONGEST_TTL_MILLIS);
          check(
              ask.instances() != null
                  && !ask.instances().isEmpty()
                  && ask.instances().size() <= MOST_INSTANCES_ASKED,
              "instances must name 1 to " + MOST_INSTANCES_ASKED);
          for (String name : ask.instances()) {
            core.managed(name);
          }
          core.expire();
          List<Api.Holder> holders = holders(ask, token);
          if (!holders.isEmpty()) {
            Api.Holder first = holders.get(0);
            throw new Refusal(
                409,
                "held",
                first.instance()
                    + " is held by "
                    + first.by()
                    + " for "
                    + first.kind()
                    + " "
                    + first.operation()
                    + (holders.size() > 1 ? ", and " + (holders.size() - 1) + " more" : "")
                    + ": wait for its end, or look at it with 'fleet show "
                    + first.operation()
                    + "'",
                holders);
          }
          supersede(ask, token);
          return give(ask, token);
        });
  }

  /** Takes an earlier owner's leases away; what it has begun ends first. */
  private void supersede(Api.LeaseAsk ask, FencingToken token) throws Refusal {
    for (String name : ask.instances()) {
      Step step = othersStep(name, ask.lease());
      if (step != null) {
        throw finishing(name, step);
      }
    }
    for (InstanceLeases.Lease lease : leases.conflicts(core.now(), ask.lease(), ask.instances())) {
      core.ended(leases.release(lease.session()), "interrupted");
    }
  }

  /** Who keeps the asker from what it asks for: leases, and steps that outlive their lease. */
  private List<Api.Holder> holders(Api.LeaseAsk ask, FencingToken token) {
    Map<String, Api.Holder> holders = new LinkedHashMap<>();
    for (InstanceLeases.Lease lease : leases.conflicts(core.now(), ask.lease(), ask.instances())) {
      if (!fencing.isEarlier(lease.session(), token)) {
        holders.put(lease.instance(), AgentCore.holder(lease));
      }
    }
    for (String name : ask.instances()) {
      Step step = othersStep(name, ask.lease());
      InstanceLeases.Lease lease = leases.holder(core.now(), name);
      boolean ends = token != null && (lease == null || fencing.isEarlier(lease.session(), token));
      if (step != null && !ends) {
        holders.putIfAbsent(
            name,
            new Api.Holder(
                name,
                step.operation(),
                step.kind().word(),
                "somebody whose lease has run out while a step is under way",
                core.millis()));
      }
    }
    return List.copyOf(holders.values());
  }

  /** The step under way on an instance that is not this session's; null where there is none. */
  private Step othersStep(String instance, String session) {
    InstanceLeases.Lease lease = leases.holder(core.now(), instance);
    boolean mine = lease != null && lease.session().equals(session);
    return mine ? null : instances.get(instance).holding();
  }

  private CompletableFuture<Api.LeaseGiven> give(Api.LeaseAsk ask, FencingToken token) {
    fencing.shown(ask.lease(), token);
    List<InstanceLeases.Lease> given =
        leases.take(
            core.now(),
            ask.lease(),
            ask.operation(),
            ask.kind().word(),
            ask.by(),
            ask.instances(),
            ask.ttlMs() * 1_000_000,
            core.millis());
    List<RecordChange> changes = new ArrayList<>();
    changes.add(
        new RecordChange.OperationBegun(
            ask.operation(),
            ask.kind().word(),
            ask.by(),
            ask.plan() == null ? "null" : Json.text(ask.plan()),
            core.millis()));
    Map<String, Long> tokens = new TreeMap<>();
    for (InstanceLeases.Lease lease : given) {
      tokens.put(lease.instance(), lease.token());
      changes.add(
          new RecordChange.LeaseTaken(
              lease.instance(),
              lease.token(),
              lease.session(),
              lease.operation(),
              lease.kind(),
              lease.by(),
              lease.sinceMillis(),
              ask.ttlMs()));
    }
    CompletableFuture<Api.LeaseGiven> answer = new CompletableFuture<>();
    core.write(
        changes,
        failure -> {
          if (failure == null) {
            for (String name : tokens.keySet()) {
              core.event(
                  "lease_taken", name, null, ask.by(), ask.kind().word() + " " + ask.operation());
            }
            answer.complete(new Api.LeaseGiven(ask.ttlMs(), tokens));
          } else {
            core.ended(leases.release(ask.lease()), "refused");
            answer.completeExceptionally(unrecorded(failure));
          }
        });
    return answer;
  }

  private static Refusal unrecorded(String failure) {
    return new Refusal(
        503, "record", "nothing was begun, since it could not be put on record: " + failure);
  }

  CompletableFuture<Api.LeaseGiven> renew(Api.LeaseEnd renewal, FencingToken token) {
    return core.fenced(
        token,
        () -> {
          if (leases.renew(core.now(), renewal.lease()) == 0) {
            throw new Refusal(
                409, "lease_gone", "no lease of this session is held here: it has run out");
          }
          return CompletableFuture.completedFuture(new Api.LeaseGiven(0, Map.of()));
        });
  }

  CompletableFuture<Api.LeaseGiven> release(Api.LeaseEnd end, FencingToken token) {
    return core.fenced(
        token,
        () -> {
          check(
              end.state() != null && Set.of("ended", "stopped", "refused").contains(end.state()),
              "state must be 'ended', 'stopped' or 'refused'");
          fencing.over(end.lease());
          List<InstanceLeases.Lease> released = leases.release(end.lease());
          if (released.isEmpty()) {
            return CompletableFuture.completedFuture(new Api.LeaseGiven(0, Map.of()));
          }
          return core.ended(released, end.state())
              .thenApply(nothing -> new Api.LeaseGiven(0, Map.of()));
        });
  }

  CompletableFuture<Api.OperationView> steps(Api.StepsAsk ask, FencingToken token) {
    return core.fenced(
        token,
        () -> {
          check(ask.operation() != null && ask.operation().matches(ID), "operation is no id");
          check(ask.kind() != null, "kind is missing");
          check(ask.steps() != null && !ask.steps().isEmpty(), "steps is empty");
          Set<String> names = new HashSet<>();
          for (Api.StepAsk step : ask.steps()) {
            check(step.instance() != null, "a step names no instance");
            core.managed(step.instance());
            check(names.add(step.instance()), step.instance() + " stands twice");
            check(step.attempt() >= 1, "attempt counts from 1");
          }
          CompletableFuture<Api.OperationView> answer = new CompletableFuture<>();
          keeper
              .read(record -> record.steps(ask.operation()))
              .whenComplete(
                  (known, failure) ->
                      core.execute(
                          () -> {
                            if (failure != null) {
                              answer.completeExceptionally(unrecorded(failure.getMessage()));
                              return;
                            }
                            try {
                              // Read meanwhile: a later owner may have come.
                              fencing.check(token);
                              beginSteps(ask, known, answer);
                            } catch (Refusal | RuntimeException e) {
                              answer.completeExceptionally(e);
                            }
                          }));
          return answer;
        });
  }

  private void beginSteps(
      Api.StepsAsk ask, List<Rows.Step> known, CompletableFuture<Api.OperationView> answer)
      throws Refusal {
    List<Step> fresh = new ArrayList<>();
    List<RecordChange> changes = new ArrayList<>();
    for (Api.StepAsk asked : ask.steps()) {
      Step step = new Step(ask.operation(), asked.instance(), asked.attempt(), ask.kind());
      Managed instance = core.managed(asked.instance());
      boolean recorded =
          known.stream()
              .anyMatch(
                  row -> row.instance().equals(step.instance()) && row.attempt() == step.attempt());
      if (recorded || step.equals(instance.holding())) {
        // Asked a second time, since the first answer was lost: it is done once.
        continue;
      }
      String refusal = leases.refusal(core.now(), step.instance(), asked.token(), step.operation());
      if (refusal != null) {
        throw new Refusal(409, "stale_token", refusal);
      }
      if (instance.holding() != null) {
        throw new Refusal(
            409, "busy", step.instance() + " has a step under way: " + instance.holding());
      }
      fresh.add(step);
      changes.add(
          new RecordChange.StepBegun(
              step.operation(),
              step.instance(),
              step.attempt(),
              step.kind().word(),
              asked.token(),
              core.millis()));
      if (step.kind() != Kind.RELOAD) {
        changes.add(new RecordChange.InstanceDesired(step.instance(), step.kind() != Kind.STOP));
      }
    }
    fresh.forEach(step -> instances.get(step.instance()).hold(step));
    if (fresh.isEmpty()) {
      answerWith(answer, ask.operation());
      return;
    }
    core.write(
        changes,
        failure -> {
          for (Step step : fresh) {
            Managed instance = instances.get(step.instance());
            if (failure != null) {
              instance.letGo();
            } else {
              core.event("step_begun", step.instance(), step, "begun", null);
              instance.begin(step);
            }
          }
          if (failure != null) {
            answer.completeExceptionally(unrecorded(failure));
          } else {
            answerWith(answer, ask.operation());
          }
        });
  }

  private void answerWith(CompletableFuture<Api.OperationView> answer, String operation) {
    views
        .read(operation)
        .whenComplete(
            (view, failure) -> {
              if (failure == null) {
                answer.complete(view);
              } else {
                answer.completeExceptionally(failure);
              }
            });
  }
}
