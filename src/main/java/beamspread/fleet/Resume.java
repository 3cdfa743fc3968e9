package beamspread.fleet;

import beamspread.fleet.api.Api;
import beamspread.fleet.api.Json;
import beamspread.fleet.api.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is left of an interrupted rollout, from what the agents have on record of it.
 *
 * @param plan what is left to do
 * @param attempts by target, the number of the next try
 * @param done what was done already
 */
public record Resume(RolloutPlan plan, Map<Target, Integer> attempts, List<Result> done) {

  /** Puts together what is left, from the views of all agents that have one. */
  public static Resume of(Map<String, Api.OperationView> views) throws Json.BadJsonException {
    RolloutPlan plan = null;
    for (Api.OperationView view : views.values()) {
      RolloutPlan one = Json.read(Json.text(view.plan()), RolloutPlan.class);
      // The widest plan: a run that resumed a part may have kept less.
      if (plan == null || one.targets().size() > plan.targets().size()) {
        plan = one;
      }
    }
    if (plan == null) {
      throw new IllegalArgumentException("no views");
    }
    List<Target> left = new ArrayList<>();
    Map<Target, Integer> attempts = new HashMap<>();
    List<Result> done = new ArrayList<>();
    for (Target target : plan.targets()) {
      Api.StepView last = last(views.get(target.agent()), target.instance());
      if (last != null
          && (last.outcome() == Outcome.SUCCEEDED || last.outcome() == Outcome.SKIPPED)) {
        done.add(
            Result.of(
                target,
                last.outcome(),
                last.reason(),
                Math.max(0, last.endedMs() - last.beganMs()),
                last.endedMs()));
      } else {
        left.add(target);
        attempts.put(target, last == null ? 1 : last.attempt() + 1);
      }
    }
    return new Resume(new RolloutPlan(plan.kind(), plan.options(), left), attempts, done);
  }

  private static Api.StepView last(Api.OperationView view, String instance) {
    Api.StepView last = null;
    if (view != null) {
      for (Api.StepView step : view.steps()) {
        if (step.instance().equals(instance) && (last == null || step.attempt() > last.attempt())) {
          last = step;
        }
      }
    }
    return last;
  }
}
