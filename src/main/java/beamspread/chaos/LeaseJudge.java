package beamspread.chaos;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What must hold of operators that work under one lease: at each agent nothing is begun under an
 * earlier owner's token once something was begun under a later one's.
 */
final class LeaseJudge {
  /** The fact of an event that tells an operator's operation. */
  static final String OPERATION = "owned_operation";

  /** The fact that tells the token that it ran under. */
  static final String TOKEN = "lease_token";

  /** The facts of a step that an agent has on record: which agent's, and whose it was. */
  static final String STEP_AGENT = "step_agent";

  static final String STEP_BY = "step_by";

  private LeaseJudge() {}

  /** Judges a history whose steps stand in the order in which each agent began them. */
  static List<Breach> judge(List<History.Event> events) {
    Map<String, Long> tokens = new HashMap<>();
    for (History.Event event : events) {
      if (event.facts().containsKey(TOKEN)) {
        tokens.put(event.text(OPERATION), event.number(TOKEN, 0));
      }
    }
    List<Breach> breaches = new ArrayList<>();
    Map<String, Long> highest = new TreeMap<>();
    for (History.Event event : events) {
      String agent = event.text(STEP_AGENT);
      Long token = agent == null ? null : tokens.get(event.text(STEP_BY));
      if (token == null) {
        continue;
      }
      if (token < highest.getOrDefault(agent, 0L)) {
        breaches.add(
            new Breach(
                "stale owner",
                event.says() + " under token " + token + " after " + highest.get(agent),
                0,
                event.atNanos(),
                Set.of(agent),
                Map.of()));
      }
      highest.merge(agent, token, Math::max);
    }
    return breaches;
  }
}
