package beamspread.fleet;

import beamspread.fleet.api.Outcome;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The results of one run of a rollout, one for each target, told as they come. */
final class RolloutResults {
  private final Map<Target, Result> byTarget = new LinkedHashMap<>();
  private final Consumer<Result> progress;

  /** None yet; {@code progress} hears of each. */
  RolloutResults(Consumer<Result> progress) {
    this.progress = progress;
  }

  /** A target has ended. */
  void add(Target target, Result result) {
    byTarget.put(target, result);
    progress.accept(result);
  }

  /** A target ends here and now, without anything being done. */
  void add(Target target, Outcome outcome, String reason) {
    add(target, Result.of(target, outcome, reason, 0, System.currentTimeMillis()));
  }

  /** Ends all of these targets that have no result yet; whether there were any. */
  boolean addMissing(List<Target> targets, Outcome outcome, String reason) {
    boolean any = false;
    for (Target target : targets) {
      if (!byTarget.containsKey(target)) {
        add(target, outcome, reason);
        any = true;
      }
    }
    return any;
  }

  /** Whether a target has ended. */
  boolean has(Target target) {
    return byTarget.containsKey(target);
  }

  /** All results and those of earlier runs, in the order of agents and instances. */
  List<Result> with(List<Result> before) {
    List<Result> all = new ArrayList<>(before);
    all.addAll(byTarget.values());
    all.sort(Comparator.comparing(Result::agent).thenComparing(Result::instance));
    return List.copyOf(all);
  }
}
