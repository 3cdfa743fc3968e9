package beamspread.agent;

import beamspread.fleet.api.Api;
import beamspread.fleet.api.Json;
import beamspread.fleet.api.Kind;
import beamspread.fleet.api.Outcome;
import beamspread.record.RecordChange;
import beamspread.record.Rows;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * All that an agent knows and decides, on one thread. What blocks is done elsewhere and told here:
 * the record on its keeper's thread, launches and signals by a few workers, statuses by the event
 * loop. A call of the API is answered only when what it begins is on record.
 */
final class AgentCore implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger("agent");
  private static final int WORKERS = 4;
  private static final int MOST_WAITERS = 256;
  private static final int MOST_INSTANCES_ASKED = 10_000;
  private static final long SWEEP_MILLIS = 250;
  private static final long TRIM_MILLIS = 10_000;
  private static final long LEAST_TTL_MILLIS = 100;
  private static final long LONGEST_TTL_MILLIS = 600_000;
  private static final long LONGEST_WAIT_MILLIS = 20_000;
  private static final String ID = "[A-Za-z0-9._-]{1,80}";

  /** Points in a reload at which a test can end the agent. */
  enum Point {
    BEFORE_SIGNAL,
    AFTER_SIGNAL,
    BEFORE_RESULT
  }

  private record Waiter(String operation, CompletableFuture<Void> told) {}

  private final long startedMillis = System.currentTimeMillis();
  private final long startedNanos = System.nanoTime();
  private final AgentConfig config;
  private final RecordKeeper keeper;
  private final ProcessTable processes;
  private final StatusClient statuses;
  private final long starts;
  private final LeaseBook leases;
  private final EventLog events;
  private final Consumer<Point> probe;
  private final Map<String, Managed> instances = new TreeMap<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private final ScheduledThreadPoolExecutor thread;
  private final ExecutorService workers;
  private String trouble;

  /**
   * @param starts which start of the agent this is: tokens of later starts are above all of earlier
   *     ones, even where the record has been put back to an older state
   */
  AgentCore(
      AgentConfig config,
      RecordKeeper keeper,
      ProcessTable processes,
      StatusClient statuses,
      long starts,
      Consumer<Point> probe) {
    this.config = config;
    this.keeper = keeper;
    this.processes = processes;
    this.statuses = statuses;
    this.starts = starts;
    this.probe = probe;
    this.leases = new LeaseBook(starts << 32);
    this.events = new EventLog(config.name());
    this.thread = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "agent"));
    this.thread.setRemoveOnCancelPolicy(true);
    this.workers = Executors.newFixedThreadPool(WORKERS, task -> new Thread(task, "agent-work"));
    for (AgentConfig.Instance instance : config.instances()) {
      instances.put(instance.name(), new Managed(this, instance, config.folder()));
    }
  }

  /** What the record holds when the agent starts. */
  record Memory(List<Rows.Lease> leases, List<Rows.Instance> instances, List<Rows.Step> steps) {}

  /**
   * Begins: takes over what runs, and brings what was under way to an end.
   *
   * @param older whether the record is older than what this agent has done since: then nothing is
   *     started by itself
   */
  void start(Memory memory, boolean older) {
    execute(
        () -> {
          if (older) {
            trouble =
                "the record is older than this agent's last start: nothing was started by itself,"
                    + " look at each instance and start what should run";
          }
          instances.values().forEach(Managed::adopt);
          for (Rows.Lease row : memory.leases()) {
            leases.restore(
                now(),
                new LeaseBook.Lease(
                    row.instance(),
                    row.token(),
                    row.lease(),
                    row.operation(),
                    row.kind(),
                    row.by(),
                    row.sinceMillis(),
                    row.ttlMillis() * 1_000_000));
          }
          recover(memory.steps());
          wake(memory.instances(), older);
        });
    thread.scheduleWithFixedDelay(
        guarded(this::sweep), SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    thread.scheduleWithFixedDelay(
        () -> work(() -> instances.values().forEach(one -> one.log.trim())),
        TRIM_MILLIS,
        TRIM_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void recover(List<Rows.Step> open) {
    for (Rows.Step row : open) {
      Managed instance = instances.get(row.instance());
      Step step = new Step(row.operation(), row.instance(), row.attempt(), Kind.of(row.kind()));
      Intent intent = null;
      String lost = null;
      try {
        intent = row.intent() == null ? null : Intent.of(row.intent());
      } catch (Json.BadJsonException e) {
        lost = "what it had found before it acted cannot be read";
      }
      if (instance == null) {
        lost = "the instance is no longer in the agent's configuration";
      } else if (instance.holding() != null) {
        lost = "another step is under way at the instance";
      }
      if (lost != null) {
        write(
            List.of(
                new RecordChange.StepEnded(
                    row.operation(),
                    row.instance(),
                    row.attempt(),
                    Outcome.UNKNOWN.word(),
                    "the agent ended while it was under way, and " + lost,
                    millis())),
            failure -> stepRecorded(row.operation()));
      } else {
        instance.recover(step, intent);
      }
    }
  }

  private void wake(List<Rows.Instance> known, boolean older) {
    Map<String, Boolean> meant = new TreeMap<>();
    known.forEach(row -> meant.put(row.name(), row.run()));
    List<RecordChange> news = new ArrayList<>();
    for (Managed instance : instances.values()) {
      String name = instance.config.name();
      Boolean run = meant.get(name);
      if (run == null) {
        run = instance.config.autostart();
        news.add(new RecordChange.InstanceDesired(name, run));
      }
      if (instance.holding() == null && run && instance.machine.process() == null) {
        if (older) {
          instance.machine.holdDown("the agent's record is older than its last start");
        } else {
          instance.mean(true);
        }
      }
    }
    if (!news.isEmpty()) {
      write(news, failure -> {});
    }
  }

  private void sweep() {
    instances.values().forEach(Managed::poll);
    expire();
  }

  private void expire() {
    List<LeaseBook.Lease> expired = leases.expire(now());
    if (!expired.isEmpty()) {
      ended(expired, "interrupted");
    }
  }

  /** Notes that leases have ended, and with them their operations. */
  private CompletableFuture<Void> ended(List<LeaseBook.Lease> gone, String state) {
    List<RecordChange> changes = new ArrayList<>();
    Set<String> operations = new HashSet<>();
    for (LeaseBook.Lease lease : gone) {
      changes.add(new RecordChange.LeaseEnded(lease.instance(), lease.token()));
      operations.add(lease.operation());
      event("lease_ended", lease.instance(), null, state, lease.operation());
    }
    for (String operation : operations) {
      changes.add(new RecordChange.OperationEnded(operation, state, millis()));
    }
    return keeper.write(changes);
  }

  // What the instances use.

  String name() {
    return config.name();
  }

  ProcessTable processes() {
    return processes;
  }

  StatusClient statuses() {
    return statuses;
  }

  long now() {
    return System.nanoTime();
  }

  /**
   * Unix milliseconds, for people and the record. They run on from the agent's start, so that a
   * clock that jumps makes no step end before it began.
   */
  long millis() {
    return startedMillis + (System.nanoTime() - startedNanos) / 1_000_000;
  }

  void probe(Point point) {
    probe.accept(point);
  }

  /** Runs something that may block. */
  void work(Runnable task) {
    try {
      workers.execute(task);
    } catch (RejectedExecutionException e) {
      // The agent ends.
    }
  }

  void execute(Runnable task) {
    try {
      thread.execute(guarded(task));
    } catch (RejectedExecutionException e) {
      // The agent ends.
    }
  }

  private static Runnable guarded(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        // One instance's trouble must not end the supervision of the others.
        LOG.error("a task failed", e);
      }
    };
  }

  ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
    try {
      return thread.schedule(guarded(task), delay, unit);
    } catch (RejectedExecutionException e) {
      return null;
    }
  }

  /** Writes, and tells here why it failed, null if it did not. */
  void write(List<RecordChange> changes, Consumer<String> then) {
    keeper
        .write(changes)
        .whenComplete(
            (nothing, failure) ->
                execute(() -> then.accept(failure == null ? null : failure.getMessage())));
  }

  void event(String type, String instance, Step step, String what, String reason) {
    String text =
        (step == null ? "" : step.kind().word() + " " + step.operation() + " ")
            + what
            + (reason == null ? "" : ": " + reason);
    events.add(millis(), type, instance, text);
    LoggingEventBuilder line = LOG.atInfo().addKeyValue("type", type);
    line = line.addKeyValue("instance", instance);
    if (step != null) {
      line = line.addKeyValue("operation", step.operation());
      line = line.addKeyValue("step", step.kind().word() + "/" + step.attempt());
    }
    LeaseBook.Lease lease = leases.holder(now(), instance);
    if (lease != null) {
      line = line.addKeyValue("token", lease.token());
    }
    line.log(text);
  }

  /** A step's end is on record. */
  void stepRecorded(String operation) {
    waiters.removeIf(waiter -> waiter.operation.equals(operation) && waiter.told.complete(null));
  }

  // The API. Each call may come from any thread.

  private interface Call<T> {
    CompletableFuture<T> run() throws Refusal;
  }

  private <T> CompletableFuture<T> call(Call<T> call) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    try {
      thread.execute(
          () -> {
            try {
              call.run()
                  .whenComplete(
                      (value, failure) -> {
                        if (failure == null) {
                          answer.complete(value);
                        } else {
                          answer.completeExceptionally(failure);
                        }
                      });
            } catch (Refusal | RuntimeException e) {
              answer.completeExceptionally(e);
            }
          });
    } catch (RejectedExecutionException e) {
      answer.completeExceptionally(new Refusal(503, "ending", "the agent is ending"));
    }
    return answer;
  }

  CompletableFuture<Api.AgentView> agent() {
    return call(
        () ->
            CompletableFuture.completedFuture(
                new Api.AgentView(
                    config.name(),
                    ProcessHandle.current().pid(),
                    starts,
                    config.record().url() == null
                        ? config.record().file().toString()
                        : config.record().url(),
                    instances.size(),
                    keeper.trouble() != null ? keeper.trouble() : trouble)));
  }

  CompletableFuture<Api.Instances> instances() {
    return call(
        () ->
            CompletableFuture.completedFuture(
                new Api.Instances(instances.values().stream().map(this::view).toList())));
  }

  CompletableFuture<Api.InstanceView> instance(String name) {
    return call(() -> CompletableFuture.completedFuture(view(managed(name))));
  }

  /** An instance, with what its node says now. */
  CompletableFuture<Api.InstanceView> query(String name) {
    return call(
        () -> {
          Managed instance = managed(name);
          CompletableFuture<Api.InstanceView> answer = new CompletableFuture<>();
          instance.refresh(() -> answer.complete(view(instance)));
          return answer;
        });
  }

  CompletableFuture<Api.LogLines> log(String name, int lines) {
    return call(
        () -> {
          Managed instance = managed(name);
          CompletableFuture<Api.LogLines> answer = new CompletableFuture<>();
          work(() -> answer.complete(new Api.LogLines(instance.log.tail(lines))));
          return answer;
        });
  }

  private Api.InstanceView view(Managed instance) {
    LeaseBook.Lease lease = leases.holder(now(), instance.config.name());
    return instance.view(lease == null ? null : holder(lease));
  }

  private static Api.Holder holder(LeaseBook.Lease lease) {
    return new Api.Holder(
        lease.instance(), lease.operation(), lease.kind(), lease.by(), lease.sinceMillis());
  }

  private Managed managed(String name) throws Refusal {
    Managed instance = instances.get(name);
    if (instance == null) {
      throw new Refusal(
          404, "unknown_instance", "agent " + config.name() + " has no instance '" + name + "'");
    }
    return instance;
  }

  private static void check(boolean holds, String message) throws Refusal {
    if (!holds) {
      throw new Refusal(400, "bad_request", message);
    }
  }

  CompletableFuture<Api.LeaseGiven> lease(Api.LeaseAsk ask) {
    return call(
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
            managed(name);
          }
          expire();
          List<Api.Holder> holders = holders(ask);
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
          return give(ask);
        });
  }

  /** Who keeps the asker from what it asks for: leases, and steps that outlive their lease. */
  private List<Api.Holder> holders(Api.LeaseAsk ask) {
    Map<String, Api.Holder> holders = new LinkedHashMap<>();
    for (LeaseBook.Lease lease : leases.conflicts(now(), ask.lease(), ask.instances())) {
      holders.put(lease.instance(), holder(lease));
    }
    for (String name : ask.instances()) {
      Step step = instances.get(name).holding();
      LeaseBook.Lease lease = leases.holder(now(), name);
      boolean mine = lease != null && lease.session().equals(ask.lease());
      if (step != null && !mine) {
        holders.putIfAbsent(
            name,
            new Api.Holder(
                name,
                step.operation(),
                step.kind().word(),
                "somebody whose lease has run out while a step is under way",
                millis()));
      }
    }
    return List.copyOf(holders.values());
  }

  private CompletableFuture<Api.LeaseGiven> give(Api.LeaseAsk ask) {
    List<LeaseBook.Lease> given =
        leases.take(
            now(),
            ask.lease(),
            ask.operation(),
            ask.kind().word(),
            ask.by(),
            ask.instances(),
            ask.ttlMs() * 1_000_000,
            millis());
    List<RecordChange> changes = new ArrayList<>();
    changes.add(
        new RecordChange.OperationBegun(
            ask.operation(),
            ask.kind().word(),
            ask.by(),
            ask.plan() == null ? "null" : Json.text(ask.plan()),
            millis()));
    Map<String, Long> tokens = new TreeMap<>();
    for (LeaseBook.Lease lease : given) {
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
    write(
        changes,
        failure -> {
          if (failure == null) {
            for (String name : tokens.keySet()) {
              event("lease_taken", name, null, ask.by(), ask.kind().word() + " " + ask.operation());
            }
            answer.complete(new Api.LeaseGiven(ask.ttlMs(), tokens));
          } else {
            ended(leases.release(ask.lease()), "refused");
            answer.completeExceptionally(unrecorded(failure));
          }
        });
    return answer;
  }

  private static Refusal unrecorded(String failure) {
    return new Refusal(
        503, "record", "nothing was begun, since it could not be put on record: " + failure);
  }

  CompletableFuture<Api.LeaseGiven> renew(Api.LeaseEnd renewal) {
    return call(
        () -> {
          if (leases.renew(now(), renewal.lease()) == 0) {
            throw new Refusal(
                409, "lease_gone", "no lease of this session is held here: it has run out");
          }
          return CompletableFuture.completedFuture(new Api.LeaseGiven(0, Map.of()));
        });
  }

  CompletableFuture<Api.LeaseGiven> release(Api.LeaseEnd end) {
    return call(
        () -> {
          check(
              end.state() != null && Set.of("ended", "stopped", "refused").contains(end.state()),
              "state must be 'ended', 'stopped' or 'refused'");
          List<LeaseBook.Lease> released = leases.release(end.lease());
          if (released.isEmpty()) {
            return CompletableFuture.completedFuture(new Api.LeaseGiven(0, Map.of()));
          }
          return ended(released, end.state()).thenApply(nothing -> new Api.LeaseGiven(0, Map.of()));
        });
  }

  CompletableFuture<Api.OperationView> steps(Api.StepsAsk ask) {
    return call(
        () -> {
          check(ask.operation() != null && ask.operation().matches(ID), "operation is no id");
          check(ask.kind() != null, "kind is missing");
          check(ask.steps() != null && !ask.steps().isEmpty(), "steps is empty");
          Set<String> names = new HashSet<>();
          for (Api.StepAsk step : ask.steps()) {
            check(step.instance() != null, "a step names no instance");
            managed(step.instance());
            check(names.add(step.instance()), step.instance() + " stands twice");
            check(step.attempt() >= 1, "attempt counts from 1");
          }
          CompletableFuture<Api.OperationView> answer = new CompletableFuture<>();
          keeper
              .read(record -> record.steps(ask.operation()))
              .whenComplete(
                  (known, failure) ->
                      execute(
                          () -> {
                            if (failure != null) {
                              answer.completeExceptionally(unrecorded(failure.getMessage()));
                              return;
                            }
                            try {
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
      Managed instance = managed(asked.instance());
      boolean recorded =
          known.stream()
              .anyMatch(
                  row -> row.instance().equals(step.instance()) && row.attempt() == step.attempt());
      if (recorded || step.equals(instance.holding())) {
        // Asked a second time, since the first answer was lost: it is done once.
        continue;
      }
      String refusal = leases.refusal(now(), step.instance(), asked.token(), step.operation());
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
              millis()));
      if (step.kind() != Kind.RELOAD) {
        changes.add(new RecordChange.InstanceDesired(step.instance(), step.kind() != Kind.STOP));
      }
    }
    fresh.forEach(step -> instances.get(step.instance()).hold(step));
    if (fresh.isEmpty()) {
      answerWith(answer, ask.operation());
      return;
    }
    write(
        changes,
        failure -> {
          for (Step step : fresh) {
            Managed instance = instances.get(step.instance());
            if (failure != null) {
              instance.letGo();
            } else {
              event("step_begun", step.instance(), step, "begun", null);
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
    read(operation)
        .whenComplete(
            (view, failure) -> {
              if (failure == null) {
                answer.complete(view);
              } else {
                answer.completeExceptionally(failure);
              }
            });
  }

  /**
   * An operation as it stands; waits until more steps have ended than the caller has seen, or its
   * time is over.
   */
  CompletableFuture<Api.OperationView> operation(String id, long waitMillis, int seen) {
    return call(
        () -> {
          if (waitMillis <= 0 || waiters.size() >= MOST_WAITERS) {
            return read(id);
          }
          CompletableFuture<Void> told = new CompletableFuture<>();
          Waiter waiter = new Waiter(id, told);
          waiters.add(waiter);
          schedule(
              () -> {
                waiters.remove(waiter);
                told.complete(null);
              },
              Math.min(waitMillis, LONGEST_WAIT_MILLIS),
              TimeUnit.MILLISECONDS);
          // Looked at once more after the waiter stands: no end in between is missed.
          return read(id)
              .thenCompose(
                  view ->
                      ended(view) > seen
                          ? CompletableFuture.completedFuture(view)
                          : told.thenCompose(nothing -> read(id)));
        });
  }

  private static long ended(Api.OperationView view) {
    return view.steps().stream().filter(step -> step.outcome() != null).count();
  }

  /** What of an operation is on record, and nothing else: what is not on record is not told. */
  private CompletableFuture<Api.OperationView> read(String id) {
    return keeper
        .read(
            record -> {
              Rows.Operation row = record.operation(id).orElse(null);
              return row == null ? null : view(row, record.steps(id));
            })
        .handle(
            (view, failure) -> {
              if (failure != null) {
                throw new java.util.concurrent.CompletionException(
                    new Refusal(503, "record", failure.getMessage()));
              }
              if (view == null) {
                throw new java.util.concurrent.CompletionException(
                    new Refusal(
                        404,
                        "unknown_operation",
                        "agent " + config.name() + " has no operation '" + id + "' on record"));
              }
              return view;
            });
  }

  CompletableFuture<Api.Operations> operations(int most) {
    return keeper
        .read(
            record -> {
              List<Api.OperationView> views = new ArrayList<>();
              for (Rows.Operation row : record.operations(most)) {
                views.add(view(row, record.steps(row.id())));
              }
              return new Api.Operations(views);
            })
        .handle(
            (operations, failure) -> {
              if (failure != null) {
                throw new java.util.concurrent.CompletionException(
                    new Refusal(503, "record", failure.getMessage()));
              }
              return operations;
            });
  }

  private Api.OperationView view(Rows.Operation row, Collection<Rows.Step> steps) {
    JsonNode plan;
    try {
      plan = Json.readTree(row.plan());
    } catch (Json.BadJsonException e) {
      plan = null;
    }
    return new Api.OperationView(
        row.id(),
        Kind.of(row.kind()),
        row.by(),
        plan,
        row.state(),
        row.beganMillis(),
        row.endedMillis(),
        steps.stream()
            .map(
                step ->
                    new Api.StepView(
                        step.instance(),
                        step.attempt(),
                        Kind.of(step.kind()),
                        step.outcome() == null ? null : Outcome.of(step.outcome()),
                        step.outcome() == null ? heldBack(step) : step.reason(),
                        step.beganMillis(),
                        step.endedMillis()))
            .toList());
  }

  /** Read from another thread for people only: a stale value does no harm. */
  private String heldBack(Rows.Step step) {
    Managed instance = instances.get(step.instance());
    return instance == null ? null : instance.heldBack();
  }

  /** Has a listener told of events; false if too many listen. */
  CompletableFuture<Boolean> listen(long since, Consumer<Api.Event> listener) {
    return call(() -> CompletableFuture.completedFuture(events.listen(since, listener)));
  }

  void leave(Consumer<Api.Event> listener) {
    execute(() -> events.leave(listener));
  }

  /** Ends the agent's own work; instances run on. */
  @Override
  public void close() {
    thread.shutdownNow();
    workers.shutdownNow();
  }
}
