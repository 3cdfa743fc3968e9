package beamspread.chaos;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The shortest story of a breach: of a whole history what belongs to it, what befell those involved
 * meanwhile, and nothing that is said again and again.
 */
public final class Story {
  /** Most lines; what lies in the middle of a longer one is left out and counted. */
  static final int MOST_LINES = 40;

  private Story() {}

  /** The events of a breach, in order. */
  public static List<History.Event> of(Breach breach, List<History.Event> events) {
    List<History.Event> story = new ArrayList<>();
    List<History.Event> open = new ArrayList<>();
    for (History.Event event : events) {
      if (event.atNanos() > breach.atNanos()) {
        break;
      }
      switch (event.what()) {
        case FAULT -> {
          if (concerns(event, breach)) {
            open.add(event);
          }
        }
        case HEALED -> {
          // One that was over before it began to matter is no part of the story.
          if (event.atNanos() < breach.fromNanos()) {
            open.removeIf(begun -> begun.says().equals(event.says()));
          } else if (concerns(event, breach)) {
            open.add(event);
          }
        }
        default -> {
          boolean inTime = event.atNanos() >= breach.fromNanos();
          if (inTime && breach.involved().contains(event.who()) && belongs(event, breach.facts())) {
            story.add(event);
          }
        }
      }
    }
    story.addAll(open);
    story.sort(java.util.Comparator.comparingLong(History.Event::atNanos));
    return withoutRepeats(story);
  }

  private static boolean concerns(History.Event event, Breach breach) {
    Object whom = event.facts().get("whom");
    return whom instanceof Fault fault && fault.concerns(breach.involved());
  }

  private static boolean belongs(History.Event event, Map<String, Object> facts) {
    for (var fact : facts.entrySet()) {
      Object value = event.facts().get(fact.getKey());
      if (value != null && !value.toString().equals(fact.getValue().toString())) {
        return false;
      }
    }
    return true;
  }

  private static List<History.Event> withoutRepeats(List<History.Event> story) {
    List<History.Event> kept = new ArrayList<>();
    for (int i = 0; i < story.size(); i++) {
      boolean first = i == 0 || !alike(story.get(i), story.get(i - 1));
      boolean last = i == story.size() - 1 || !alike(story.get(i), story.get(i + 1));
      if (first || last) {
        kept.add(story.get(i));
      }
    }
    return kept;
  }

  private static boolean alike(History.Event one, History.Event other) {
    return one.what() == other.what()
        && one.who().equals(other.who())
        && one.says().equals(other.says());
  }

  /** The story as lines for people. */
  public static List<String> lines(Breach breach, List<History.Event> events) {
    List<History.Event> story = of(breach, events);
    List<String> lines = new ArrayList<>();
    lines.add("%s at %.3f s: %s".formatted(breach.invariant(), at(breach), breach.says()));
    int half = MOST_LINES / 2;
    for (int i = 0; i < story.size(); i++) {
      if (story.size() > MOST_LINES && i == half) {
        lines.add("      ... " + (story.size() - MOST_LINES) + " more");
        i = story.size() - half;
      }
      History.Event event = story.get(i);
      lines.add(
          "%9.3f s  %-8s %-12s %s"
              .formatted(
                  event.atNanos() / 1e9,
                  event.what().name().toLowerCase(java.util.Locale.ROOT),
                  event.who(),
                  event.says()));
    }
    return lines;
  }

  private static double at(Breach breach) {
    return breach.atNanos() / 1e9;
  }
}
