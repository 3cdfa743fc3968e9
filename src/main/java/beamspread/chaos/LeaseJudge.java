package beamspread.chaos;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What must hold of operators of whom one owns the work at a time: nothing is begun by an earlier
 * owner, at whatever agent, once something was begun by a later one, at whatever agent. Who is
 * later is told by the tokens of their lease; where they work without one, by whose first step came
 * first, at whatever agent.
 */
final class LeaseJudge {
  /** The fact of an event that tells an operator's operation. */
  static final String OPERATION = "owned_operation";

  /** The fact that tells the token that it ran under. */
  static final String TOKEN = "lease_token";

  /** The facts of a step that an agent has on record: which agent's, and whose it was. */
  static final String STEP_AGENT = "step_agent";

  static final String STEP_BY = "step_by";

  /** The fact that tells when the step began, in milliseconds of the machine's clock. */
  static final String STEP_BEGAN = "step_began";

  private LeaseJudge() {}

  /**
   * Judges a history whose steps stand in the order in which they were begun.
   *
   * @param leased whether the operators work under a lease
   */
  static List<Breach> judge(List<History.Event> events, boolean leased) {
    Map<String, Long> ranks = leased ? tokens(events) : firstSteps(events);
    List<Breach> breaches = new ArrayList<>();
    long highest = 0;
    for (History.Event event : events) {
      String agent = event.text(STEP_AGENT);
      Long rank = agent == null ? null : ranks.get(event.text(STEP_BY));
      if (rank == null) {
        continue;
      }
      if (rank < highest) {
        breaches.add(
            new Breach(
                "stale owner",
                event.says()
                    + (leased ? " under token " : " as owner ")
                    + rank
                    + " after "
                    + highest,
                0,
                event.atNanos(),
                Set.of(agent),
                Map.of()));
      }
      highest = Math.max(highest, rank);
    }
    return breaches;
  }

  /** By operation, the token that it ran under by its own word. */
  private static Map<String, Long> tokens(List<History.Event> events) {
    Map<String, Long> tokens = new HashMap<>();
    for (History.Event event : events) {
      if (event.facts().containsKey(TOKEN)) {
        tokens.put(event.text(OPERATION), event.number(TOKEN, 0));
      }
    }
    return tokens;
  }

  /** By operation, the place of its first step among all first steps. */
  private static Map<String, Long> firstSteps(List<History.Event> events) {
    Map<String, Long> began = new HashMap<>();
    for (History.Event event : events) {
      if (event.text(STEP_AGENT) != null) {
        began.merge(event.text(STEP_BY), event.number(STEP_BEGAN, 0), Math::min);
      }
    }
    List<String> inOrder = new ArrayList<>(began.keySet());
    inOrder.sort(Comparator.<String>comparingLong(began::get).thenComparing(by -> by));
    Map<String, Long> ranks = new HashMap<>();
    for (String by : inOrder) {
      ranks.put(by, ranks.size() + 1L);
    }
    return ranks;
  }
}
