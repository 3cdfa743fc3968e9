package beamspread.fleet;

import beamspread.fleet.api.Kind;
import beamspread.fleet.api.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A rollout as a state machine: says which instances are to be begun next, from what has come of
 * the ones before. Free of I/O; times are nanoseconds of one clock. An instance that is being
 * worked on counts as unavailable, and where the operation interrupts, so does each that did not
 * come back.
 */
public final class Rollout {

  /** What to do next. */
  public sealed interface Decision {
    /** Begin all of these. */
    record Begin(List<Target> targets) implements Decision {}

    /** Wait for results, or until this time if none is to come. */
    record Wait(long untilNanos) implements Decision {}

    /** Nothing more is begun; of these, nothing was begun at all. */
    record Done(List<Target> skipped, String why) implements Decision {}
  }

  private final Kind kind;
  private final RolloutOptions options;
  private final LinkedHashSet<Target> waiting;
  private final Set<Target> working = new LinkedHashSet<>();
  private final List<Target> down = new ArrayList<>();
  private int failures;
  private boolean begun;
  private long notBefore;

  /** A rollout over these instances, in this order as far as the bounds allow. */
  public Rollout(RolloutPlan plan) {
    this.kind = plan.kind();
    this.options = plan.options();
    this.waiting = new LinkedHashSet<>(plan.targets());
  }

  /** What to do now. */
  public Decision next(long now) {
    if (!working.isEmpty()) {
      return new Decision.Wait(Long.MAX_VALUE);
    }
    if (waiting.isEmpty()) {
      return new Decision.Done(List.of(), null);
    }
    if (options.stopAfter() > 0 && failures >= options.stopAfter()) {
      return done(
          "not begun: stopped after " + failures + (failures == 1 ? " failure" : " failures"));
    }
    if (begun && now - notBefore < 0) {
      return new Decision.Wait(notBefore);
    }
    List<Target> batch = batch();
    if (batch.isEmpty()) {
      return done(
          "not begun: " + down.size() + " did not come back, and no more may be unavailable");
    }
    begun = true;
    waiting.removeAll(batch);
    working.addAll(batch);
    return new Decision.Begin(batch);
  }

  private Decision done(String why) {
    List<Target> skipped = List.copyOf(waiting);
    waiting.clear();
    return new Decision.Done(skipped, why);
  }

  private List<Target> batch() {
    Map<String, Integer> perZone = new HashMap<>();
    down.forEach(target -> perZone.merge(target.zone(), 1, Integer::sum));
    List<Target> batch = new ArrayList<>();
    for (Target target : waiting) {
      if (batch.size() >= options.batch()
          || batch.size() + down.size() >= options.maxUnavailable()) {
        break;
      }
      int there = perZone.getOrDefault(target.zone(), 0);
      if (options.maxPerZone() == 0 || there < options.maxPerZone()) {
        perZone.put(target.zone(), there + 1);
        batch.add(target);
      }
    }
    return batch;
  }

  /** What came of an instance that was begun. */
  public void ended(long now, Target target, Outcome outcome) {
    if (!working.remove(target)) {
      throw new IllegalArgumentException(target.path() + " is not under way");
    }
    if (outcome != Outcome.SUCCEEDED && outcome != Outcome.SKIPPED) {
      failures++;
      if (kind.interrupts()) {
        down.add(target);
      }
    }
    if (working.isEmpty()) {
      notBefore = now + options.pauseMs() * 1_000_000;
    }
  }

  /** An instance that could not even be asked for counts as a failure. */
  public void neverBegun(Target target) {
    if (!waiting.remove(target)) {
      throw new IllegalArgumentException(target.path() + " is not waiting");
    }
    failures++;
  }

  /** The batches as they come if nothing fails. */
  public static List<List<Target>> batches(RolloutPlan plan) {
    Rollout rollout = new Rollout(plan);
    List<List<Target>> batches = new ArrayList<>();
    long now = 0;
    for (Decision next = rollout.next(now);
        !(next instanceof Decision.Done);
        next = rollout.next(now)) {
      if (next instanceof Decision.Begin begin) {
        batches.add(begin.targets());
        for (Target target : begin.targets()) {
          rollout.ended(now, target, Outcome.SUCCEEDED);
        }
      } else if (next instanceof Decision.Wait wait) {
        now = wait.untilNanos();
      }
    }
    return batches;
  }
}
