package beamspread.chaos;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** What came of a run, for people and for programs. */
public final class RunReport {
  /** Breaches whose stories are told; those that follow are mostly what the first brought about. */
  private static final int MOST_STORIES = 5;

  private RunReport() {}

  /** As lines of text. */
  public static List<String> lines(String scene, Run.Outcome outcome) {
    List<String> lines = new ArrayList<>();
    Schedule schedule = outcome.schedule();
    lines.add(
        "scene %s, seed %d: %d faults in %.1f s, %d events, %s"
            .formatted(
                scene,
                schedule.seed(),
                schedule.faults().size(),
                schedule.healedAtNanos() / 1e9,
                outcome.events().size(),
                outcome.good() ? "all held" : outcome.breaches().size() + " breaches"));
    counts(outcome).forEach((what, count) -> lines.add("  %6d %s".formatted(count, what)));
    if (outcome.dropped() > 0) {
      lines.add("  " + outcome.dropped() + " events more than a run may have: not judged whole");
    }
    outcome.breaches().stream()
        .limit(MOST_STORIES)
        .forEach(
            breach -> {
              lines.add("");
              lines.addAll(Story.lines(breach, outcome.events()));
            });
    if (outcome.breaches().size() > MOST_STORIES) {
      lines.add("");
      lines.add((outcome.breaches().size() - MOST_STORIES) + " more breaches, see -o json");
    }
    return lines;
  }

  /** How often clients were told what, and processes started and ended. */
  private static Map<String, Long> counts(Run.Outcome outcome) {
    Map<String, Long> counts = new TreeMap<>();
    for (History.Event event : outcome.events()) {
      switch (event.what()) {
        case FAULT, STARTED, ENDED -> count(counts, event.what().name());
        case SEEN -> {
          if (event.facts().containsKey(Run.STOOD)) {
            count(counts, "stands of the machine, in which time is not judged");
          }
        }
        case TOLD -> {
          for (String fact : List.of("fate", "outcome", "code")) {
            if (event.facts().containsKey(fact)) {
              count(counts, "told " + (fact.equals("code") ? "exit code " : "") + event.text(fact));
            }
          }
          if (event.facts().containsKey("read")) {
            count(counts, "reads");
          }
        }
        default -> {
          // Counted by nobody.
        }
      }
    }
    return counts;
  }

  private static void count(Map<String, Long> counts, String what) {
    counts.merge(what.toLowerCase(Locale.ROOT).replace('_', ' '), 1L, Long::sum);
  }

  /** For programs: all but the history itself. */
  public static Map<String, Object> tree(String scene, Run.Outcome outcome) {
    Map<String, Object> tree = new LinkedHashMap<>();
    Schedule schedule = outcome.schedule();
    tree.put("scene", scene);
    tree.put("seed", schedule.seed());
    tree.put("good", outcome.good());
    tree.put("events", outcome.events().size());
    tree.put("dropped", outcome.dropped());
    tree.put("counts", counts(outcome));
    tree.put(
        "faults",
        schedule.faults().stream()
            .map(fault -> Map.of("at_ms", fault.atNanos() / 1_000_000, "says", fault.says()))
            .toList());
    List<Map<String, Object>> breaches = new ArrayList<>();
    for (Breach breach : outcome.breaches()) {
      Map<String, Object> one = new LinkedHashMap<>();
      one.put("invariant", breach.invariant());
      one.put("says", breach.says());
      one.put("at_ms", breach.atNanos() / 1_000_000);
      one.put("involved", breach.involved().stream().sorted().toList());
      one.put("story", Story.lines(breach, outcome.events()));
      breaches.add(one);
    }
    tree.put("breaches", breaches);
    return tree;
  }

  /** An event of the history, for programs. */
  public static Map<String, Object> tree(History.Event event) {
    Map<String, Object> tree = new LinkedHashMap<>();
    tree.put("at_us", event.atNanos() / 1000);
    tree.put("what", event.what().name().toLowerCase(Locale.ROOT));
    tree.put("who", event.who());
    tree.put("says", event.says());
    event.facts().forEach((name, value) -> tree.putIfAbsent(name, plain(value)));
    return tree;
  }

  private static Object plain(Object value) {
    return value instanceof Fault fault ? fault.says() : value;
  }
}
