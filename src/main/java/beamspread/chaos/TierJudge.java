package beamspread.chaos;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What must hold of nodes that know one another: nobody who runs and can be reached both ways by
 * most is called gone, each dead one is gone for all that can know it, nothing flaps, and after the
 * last fault all agree.
 */
final class TierJudge {
  /** After the last fault all must see the same within this. */
  static final long AGREEMENT_SECONDS = 20;

  /** A fault may bring a judgement about for so long after its end. */
  private static final long AFTERMATH_NANOS = 4_000_000_000L;

  /** A pause this short puts nobody out. */
  private static final long SHORT_PAUSE_NANOS = 1_000_000_000L;

  /** A death must be known everywhere within this, the watch's own time included. */
  private static final long DEATH_NANOS = 6_000_000_000L;

  private final List<String> nodes;
  private final List<History.Event> faults = new ArrayList<>();
  private final List<History.Event> stands = new ArrayList<>();
  private final Map<String, Map<String, String>> views = new TreeMap<>();
  private final Map<String, Integer> falls = new HashMap<>();
  private final List<Breach> breaches = new ArrayList<>();

  private TierJudge(List<String> nodes) {
    this.nodes = nodes;
  }

  static List<Breach> judge(List<String> nodes, List<History.Event> events) {
    TierJudge judge = new TierJudge(nodes);
    List<History.Event> open = new ArrayList<>();
    for (History.Event event : events) {
      judge.overdue(open, event.atNanos());
      if (event.what() == History.What.FAULT) {
        judge.faults.add(event);
        if (fault(event).kind() == Fault.Kind.KILL) {
          open.add(event);
        }
      } else if (event.facts().containsKey(Run.STOOD)) {
        judge.stands.add(event);
      } else if (event.facts().containsKey("member")) {
        judge.seen(event);
      } else if (event.facts().containsKey("differ")) {
        judge.breaches.add(
            new Breach(
                "no agreement",
                event.says(),
                Math.max(0, event.atNanos() - AGREEMENT_SECONDS * 1_000_000_000L),
                event.atNanos(),
                Set.copyOf(nodes),
                Map.of()));
      }
    }
    judge.flaps(events);
    return judge.breaches;
  }

  private static Fault fault(History.Event event) {
    return (Fault) event.facts().get("whom");
  }

  private void seen(History.Event event) {
    String viewer = event.text("viewer");
    String member = event.text("member");
    String state = event.text("state");
    String before = views.computeIfAbsent(viewer, key -> new TreeMap<>()).put(member, state);
    if (state.equals("gone") && "here".equals(before)) {
      falls.merge(viewer + " " + member, 1, Integer::sum);
      if (reachable(member, event.atNanos()) && reachable(viewer, event.atNanos())) {
        breaches.add(
            new Breach(
                "live node called gone",
                event.says() + ", though it runs and most can reach it",
                Math.max(0, event.atNanos() - 2 * AFTERMATH_NANOS),
                event.atNanos(),
                Set.of(viewer, member),
                Map.of("member", member)));
      }
    }
  }

  /** Whether a node ran, and half of the others could reach it both ways, for some time. */
  private boolean reachable(String node, long at) {
    int reached = 0;
    for (String other : nodes) {
      reached += !other.equals(node) && whole(node, other, at) ? 1 : 0;
    }
    return faults.stream().noneMatch(event -> stops(event, node, at))
        && !Run.stood(stands, at - AFTERMATH_NANOS, at)
        && 2 * reached >= nodes.size() - 1;
  }

  private boolean whole(String node, String other, long at) {
    return faults.stream()
        .noneMatch(
            event ->
                acts(event, at)
                    && (fault(event).befalls(node, other) || fault(event).befalls(other, node))
                    && fault(event).kind() != Fault.Kind.RESET);
  }

  private static boolean acts(History.Event event, long at) {
    return event.atNanos() <= at
        && at <= event.atNanos() + fault(event).forNanos() + AFTERMATH_NANOS;
  }

  private static boolean stops(History.Event event, String node, long at) {
    Fault fault = fault(event);
    boolean shortPause = fault.kind() == Fault.Kind.PAUSE && fault.forNanos() <= SHORT_PAUSE_NANOS;
    // An upgrade is no absence: one of the two processes is the member at any time.
    return fault.befalls(node)
        && acts(event, at)
        && !shortPause
        && fault.kind() != Fault.Kind.UPGRADE;
  }

  /** Deaths that all others should know of by now. */
  private void overdue(List<History.Event> open, long now) {
    for (History.Event event : List.copyOf(open)) {
      Fault fault = fault(event);
      if (fault.forNanos() < DEATH_NANOS || now < event.atNanos() + DEATH_NANOS) {
        continue;
      }
      open.remove(event);
      for (String dead : nodes) {
        for (String viewer : nodes) {
          if (fault.befalls(dead)
              && !fault.befalls(viewer)
              && reachable(viewer, now)
              && "here".equals(views.getOrDefault(viewer, Map.of()).get(dead))) {
            breaches.add(
                new Breach(
                    "death not known",
                    dead + " was killed and is here for " + viewer + " after 6 s",
                    event.atNanos(),
                    now,
                    Set.of(viewer, dead),
                    Map.of("member", dead)));
          }
        }
      }
    }
  }

  /** Nobody falls more often at another than faults could have brought about. */
  private void flaps(List<History.Event> events) {
    long end = events.isEmpty() ? 0 : events.get(events.size() - 1).atNanos();
    falls.forEach(
        (pair, count) -> {
          String[] both = pair.split(" ");
          long causes =
              faults.stream()
                  .filter(event -> fault(event).concerns(Set.of(both[0], both[1])))
                  .count();
          if (count > causes) {
            breaches.add(
                new Breach(
                    "flapping",
                    both[1]
                        + " fell "
                        + count
                        + " times for "
                        + both[0]
                        + ", by "
                        + causes
                        + " faults",
                    0,
                    end,
                    Set.of(both),
                    Map.of("member", both[1])));
          }
        });
  }
}
