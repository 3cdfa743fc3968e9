package beamspread.chaos;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What must hold of canonical keys: a variant that has come to differ is not answered with the
 * others' value for longer than is stated, and once faults are over all hold one table. The time
 * counts from when the variant differs and the node's agent holds a table that merges: without one
 * nothing is compared, so that what came to differ meanwhile is found in the first rounds under it.
 */
final class VariantsJudge {
  /** The fact of an event that tells that there was no agreement. */
  static final String DIFFER = "tables_differ";

  /** The facts of an event that tells whether an agent holds a table that merges from now on. */
  static final String TABLE_AGENT = "table_agent";

  static final String TABLE_HELD = "table_held";

  private VariantsJudge() {}

  /**
   * Judges a history.
   *
   * @param mostStaleNanos for how long a value may be served that is not the variant's any more
   */
  static List<Breach> judge(List<History.Event> events, long mostStaleNanos) {
    List<History.Event> stands =
        events.stream().filter(event -> event.facts().containsKey(Run.STOOD)).toList();
    List<Breach> breaches = new ArrayList<>();
    Map<String, Long> heldSince = new HashMap<>();
    for (History.Event event : events) {
      if (event.facts().containsKey(TABLE_AGENT)) {
        boolean held = Boolean.TRUE.equals(event.facts().get(TABLE_HELD));
        heldSince.put(event.text(TABLE_AGENT), held ? event.atNanos() : Long.MAX_VALUE);
      }
      long stale = stale(event, heldSince);
      boolean excused =
          stale < 2 * mostStaleNanos
              && Run.stood(stands, event.atNanos() - mostStaleNanos, event.atNanos());
      if (stale > mostStaleNanos && !excused) {
        breaches.add(
            new Breach(
                "wrong variant",
                event.says()
                    + (stale == Long.MAX_VALUE
                        ? ", which it never was"
                        : ", which it had not been for " + stale / 1_000_000 + " ms"),
                Math.max(0, event.atNanos() - Math.min(stale, event.atNanos())),
                event.atNanos(),
                Set.of(event.who()),
                Map.of()));
      }
      if (event.facts().containsKey(DIFFER)) {
        breaches.add(
            new Breach(
                "no agreement", event.says(), 0, event.atNanos(), Set.of(event.who()), Map.of()));
      }
    }
    return breaches;
  }

  /**
   * For how long an answer was another variant's, though a table was held and it could be known.
   */
  private static long stale(History.Event event, Map<String, Long> heldSince) {
    long stale = event.number(VariantClient.STALE, 0);
    if (stale == Long.MAX_VALUE) {
      return stale;
    }
    long since = heldSince.getOrDefault(event.text(VariantClient.AGENT), Long.MIN_VALUE);
    return since == Long.MIN_VALUE ? stale : Math.min(stale, Math.max(0, event.atNanos() - since));
  }
}
