package beamspread.fleet;

import beamspread.fleet.api.Kind;
import java.util.List;

/** What is meant to be done: kept by every agent that takes part, for whoever resumes it. */
public record RolloutPlan(Kind kind, RolloutOptions options, List<Target> targets) {}
