package beamspread.chaos;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What must hold of operators who steer instances through agents, whatever befalls between them:
 * what is told as done was done, nothing is done twice or unasked, and no more instances are out at
 * a time than one operation may take out.
 */
final class RolloutJudge {
  /** The watch may see a change this much after it was told. */
  private static final long WATCH_NANOS = 1_000_000_000L;

  private final int mostOut;
  private final List<Breach> breaches = new ArrayList<>();
  private final Map<String, Long> askedAt = new HashMap<>();
  private final Map<String, Counts> counts = new TreeMap<>();
  private final Set<String> out = new TreeSet<>();
  private final Set<String> struck = new HashSet<>();

  /** What was seen of an instance, and what was told of it. */
  private static final class Counts {
    private final List<Long> starts = new ArrayList<>();
    private final List<Long> reloads = new ArrayList<>();
    private int faults;
    private final Map<String, Integer> done = new HashMap<>();
    private final Map<String, Integer> maybe = new HashMap<>();
  }

  private RolloutJudge(int mostOut) {
    this.mostOut = mostOut;
  }

  /**
   * Judges a history.
   *
   * @param mostOut instances that the operations may take out at a time
   */
  static List<Breach> judge(int mostOut, List<History.Event> events) {
    RolloutJudge judge = new RolloutJudge(mostOut);
    // First what was seen, so that what is told can be set against it.
    events.stream().filter(event -> event.what() == History.What.SEEN).forEach(judge::collect);
    events.forEach(judge::next);
    judge.counted(events);
    return judge.breaches;
  }

  private Counts of(String instance) {
    return counts.computeIfAbsent(instance, key -> new Counts());
  }

  private void collect(History.Event event) {
    String instance = event.text("instance");
    if ("up".equals(event.text("change"))) {
      of(instance).starts.add(event.atNanos());
    } else if ("reload".equals(event.text("change"))) {
      of(instance).reloads.add(event.atNanos());
    }
  }

  private void next(History.Event event) {
    switch (event.what()) {
      case FAULT -> {
        if (event.facts().get("whom") instanceof Fault fault
            && !fault.kind().links()
            && fault.kind() != Fault.Kind.PAUSE) {
          for (var one : counts.entrySet()) {
            if (fault.befalls(one.getKey())) {
              one.getValue().faults++;
              struck.add(one.getKey());
            }
          }
        }
      }
      case ASKED -> askedAt.put(event.text("operation"), event.atNanos());
      case TOLD -> told(event);
      case SEEN -> seen(event);
      default -> {
        // Nothing that is judged.
      }
    }
  }

  private void seen(History.Event event) {
    String instance = event.text("instance");
    if ("down".equals(event.text("change"))) {
      out.add(instance);
      Set<String> taken = new TreeSet<>(out);
      taken.removeAll(struck);
      if (taken.size() > mostOut) {
        breaches.add(
            new Breach(
                "too many out",
                String.join(", ", taken) + " are out at once, " + mostOut + " may be",
                Math.max(0, event.atNanos() - 10_000_000_000L),
                event.atNanos(),
                taken,
                Map.of()));
      }
    } else if ("up".equals(event.text("change"))) {
      out.remove(instance);
      struck.remove(instance);
    } else if (event.facts().containsKey("broken")) {
      breaches.add(here("cannot be judged", event.who() + " " + event.says(), event));
    }
  }

  private static Breach here(String what, String says, History.Event event) {
    return new Breach(what, says, event.atNanos(), event.atNanos(), Set.of(event.who()), Map.of());
  }

  private void told(History.Event event) {
    String operation = event.text("operation");
    String instance = event.text("instance");
    String kind = event.text("kind");
    if (instance == null) {
      if (event.number("code", 0) < 0) {
        breaches.add(
            new Breach(
                "never ends",
                operation + " has not ended after " + Caller.LONGEST_SECONDS + " s",
                askedAt.getOrDefault(operation, 0L),
                event.atNanos(),
                Set.of(event.who()),
                Map.of("operation", operation)));
      }
      return;
    }
    Counts of = of(instance);
    String outcome = event.text("outcome");
    if (outcome.equals("succeeded")) {
      of.done.merge(kind, 1, Integer::sum);
      List<Long> seen = kind.equals("restart") ? of.starts : of.reloads;
      long from = askedAt.getOrDefault(operation, 0L);
      if (seen.stream().noneMatch(at -> at >= from && at <= event.atNanos() + WATCH_NANOS)) {
        breaches.add(
            new Breach(
                "told as done",
                kind + " of " + instance + " was told as succeeded, and did not happen",
                from,
                event.atNanos(),
                Set.of(event.who(), instance),
                Map.of("operation", operation, "instance", instance)));
      }
    } else if (outcome.equals("failed") || outcome.equals("unknown")) {
      of.maybe.merge(kind, 1, Integer::sum);
    }
  }

  /** As many effects as were asked for: those told as done, and at most those that may be. */
  private void counted(List<History.Event> events) {
    Map<String, Integer> untold = untold(events);
    long end = events.isEmpty() ? 0 : events.get(events.size() - 1).atNanos();
    counts.forEach(
        (instance, of) -> {
          count("restart", instance, of, of.starts.size() - 1, of.faults, untold, end);
          count("reload", instance, of, of.reloads.size(), 0, untold, end);
        });
  }

  private void count(
      String kind,
      String instance,
      Counts of,
      int seen,
      int faults,
      Map<String, Integer> untold,
      long end) {
    int done = of.done.getOrDefault(kind, 0);
    int most = done + of.maybe.getOrDefault(kind, 0) + untold.getOrDefault(kind, 0) + faults;
    if (seen < done || seen > most) {
      breaches.add(
          new Breach(
              seen < done ? "told as done" : "done unasked or twice",
              "%s of %s happened %d times; %d to %d were told"
                  .formatted(kind, instance, seen, done, most),
              0,
              end,
              Set.of(instance),
              Map.of()));
    }
  }

  /** Operations that ended without telling of any instance: each may have been done at each. */
  private static Map<String, Integer> untold(List<History.Event> events) {
    Map<String, Integer> untold = new HashMap<>();
    Set<String> ended = new HashSet<>();
    for (History.Event event : events) {
      if (event.what() == History.What.TOLD && event.facts().containsKey("code")) {
        ended.add(event.text("operation"));
        boolean killed = event.number("code", 0) > 3 || event.number("code", 0) < 0;
        if (killed && event.number("results", 0) == 0) {
          untold.merge(event.text("kind"), 1, Integer::sum);
        }
      }
    }
    for (History.Event event : events) {
      if (event.what() == History.What.ASKED && !ended.contains(event.text("operation"))) {
        untold.merge(event.text("kind"), 1, Integer::sum);
      }
    }
    return untold;
  }
}
