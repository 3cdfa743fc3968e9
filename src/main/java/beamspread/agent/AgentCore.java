package beamspread.agent;

import beamspread.fleet.api.Api;
import beamspread.fleet.api.Json;
import beamspread.fleet.api.Kind;
import beamspread.fleet.api.Outcome;
import beamspread.lease.FencingToken;
import beamspread.record.RecordChange;
import beamspread.record.Rows;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
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
  private static final long SWEEP_MILLIS = 250;
  private static final long TRIM_MILLIS = 10_000;
  private static final long LONGEST_WAIT_MILLIS = 20_000;

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
  private final InstanceLeases leases;
  private final Fencing fencing;
  private final VariantCalls variantCalls;
  private final OperationViews views;
  private final OperationCalls operationCalls;
  private final EventLog events;
  private final Consumer<Point> probe;
  private final Map<String, Managed> instances = new TreeMap<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private final ScheduledThreadPoolExecutor thread;
  private final ExecutorService workers;

  /** Writes what has to be on the disk before a call is answered, one after the other. */
  private final ExecutorService disk;

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
    this.leases = new InstanceLeases(starts << 32);
    this.fencing = new Fencing(new FencingFile(config.folder().resolve("fencing-tokens.json")));
    this.views = new OperationViews(keeper, config.name(), this::heldBack);
    this.variantCalls =
        new VariantCalls(this, new KeptSplits(config.folder().resolve("variant-splits.json")));
    this.operationCalls = new OperationCalls(this, instances, leases, fencing, keeper, views);
    this.events = new EventLog(config.name());
    this.thread = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "agent"));
    this.thread.setRemoveOnCancelPolicy(true);
    this.workers = Executors.newFixedThreadPool(WORKERS, task -> new Thread(task, "agent-work"));
    this.disk = Executors.newSingleThreadExecutor(task -> new Thread(task, "agent-disk"));
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
                new InstanceLeases.Lease(
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

  void expire() {
    List<InstanceLeases.Lease> expired = leases.expire(now());
    if (!expired.isEmpty()) {
      ended(expired, "interrupted");
    }
  }

  /** Notes that leases have ended, and with them their operations. */
  CompletableFuture<Void> ended(List<InstanceLeases.Lease> gone, String state) {
    List<RecordChange> changes = new ArrayList<>();
    Set<String> operations = new HashSet<>();
    for (InstanceLeases.Lease lease : gone) {
      fencing.over(lease.session());
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
    InstanceLeases.Lease lease = leases.holder(now(), instance);
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

  /** What a call does on the agent's thread. */
  interface Call<T> {
    CompletableFuture<T> run() throws Refusal;
  }

  <T> CompletableFuture<T> call(Call<T> call) {
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

  /**
   * Runs a call that acts, unless the lease that it is done under has passed to a later owner. What
   * proves that it has not is on the disk before the call begins.
   *
   * @param token what the caller showed; null for nothing
   */
  <T> CompletableFuture<T> fenced(FencingToken token, Call<T> acts) {
    return call(
        () -> {
          fencing.check(token);
          return fencing
              .keep(token, disk, this::execute)
              .thenCompose(
                  kept -> {
                    try {
                      // A later owner may have come while this one's token was written.
                      fencing.check(token);
                      return acts.run();
                    } catch (Refusal e) {
                      return CompletableFuture.failedFuture(e);
                    }
                  });
        });
  }

  /** Writes on the disk, one thing after the other. */
  Executor disk() {
    return disk;
  }

  /** The calls about tables of variants. */
  VariantCalls variantCalls() {
    return variantCalls;
  }

  /** Which start of this agent it is. */
  long starts() {
    return starts;
  }

  /** The calls that act. */
  OperationCalls operationCalls() {
    return operationCalls;
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
                    trouble(),
                    fencing.seen())));
  }

  /** What keeps this agent from working fully; null if nothing does. */
  private String trouble() {
    if (fencing.trouble() != null) {
      return fencing.trouble();
    }
    return keeper.trouble() != null ? keeper.trouble() : trouble;
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
    InstanceLeases.Lease lease = leases.holder(now(), instance.config.name());
    return instance.view(lease == null ? null : holder(lease));
  }

  static Api.Holder holder(InstanceLeases.Lease lease) {
    return new Api.Holder(
        lease.instance(), lease.operation(), lease.kind(), lease.by(), lease.sinceMillis());
  }

  Managed managed(String name) throws Refusal {
    Managed instance = instances.get(name);
    if (instance == null) {
      throw new Refusal(
          404, "unknown_instance", "agent " + config.name() + " has no instance '" + name + "'");
    }
    return instance;
  }

  /**
   * An operation as it stands; waits until more steps have ended than the caller has seen, or its
   * time is over.
   */
  CompletableFuture<Api.OperationView> operation(String id, long waitMillis, int seen) {
    return call(
        () -> {
          if (waitMillis <= 0 || waiters.size() >= MOST_WAITERS) {
            return views.read(id);
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
          return views
              .read(id)
              .thenCompose(
                  view ->
                      ended(view) > seen
                          ? CompletableFuture.completedFuture(view)
                          : told.thenCompose(nothing -> views.read(id)));
        });
  }

  static long ended(Api.OperationView view) {
    return view.steps().stream().filter(step -> step.outcome() != null).count();
  }

  private String heldBack(String name) {
    Managed instance = instances.get(name);
    return instance == null ? null : instance.heldBack();
  }

  CompletableFuture<Api.Operations> operations(int most) {
    return views.operations(most);
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
    disk.shutdownNow();
  }
}
