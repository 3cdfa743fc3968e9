package beamspread.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * What one run of a rollout is to do.
 *
 * @param operation its id
 * @param by who asks for it
 * @param attempts by target, the number of this try where it is not the first
 * @param before results that an earlier run has had already
 */
record RolloutTask(
    String operation,
    String by,
    RolloutPlan plan,
    Map<Target, Integer> attempts,
    List<Result> before) {

  /** The plan as it was at first: who resumes it anew must not lose what was done already. */
  RolloutPlan wholePlan() {
    List<Target> targets = new ArrayList<>();
    before.forEach(one -> targets.add(new Target(one.instance(), one.agent(), one.zone())));
    targets.addAll(plan.targets());
    return new RolloutPlan(plan.kind(), plan.options(), targets);
  }

  /** The number of the try at a target, from 1. */
  int attempt(Target target) {
    return attempts.getOrDefault(target, 1);
  }
}
