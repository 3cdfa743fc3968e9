package beamspread.chaos;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What must hold of canonical keys: a variant that has come to differ is not answered with the
 * others' value for longer than is stated, and once faults are over all hold one table.
 */
final class VariantsJudge {
  /** The fact of an event that tells that there was no agreement. */
  static final String DIFFER = "tables_differ";

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
    for (History.Event event : events) {
      long stale = event.number(VariantClient.STALE, 0);
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
}
