package beamspread.fleet;

import java.util.List;
import java.util.Map;
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
    RolloutTask task = new RolloutTask(operation, by, plan, attempts, before);
    RolloutResults results = new RolloutResults(progress);
    new RolloutCourse(fleet, limits, workLease, task, results).run();
    long tookMillis = (System.nanoTime() - begunAt) / 1_000_000;
    return new Report(
        operation, plan.kind(), by, started, tookMillis, results.with(before), List.of());
  }
}
