package beamspread.cli;

import beamspread.chaos.Breach;
import beamspread.chaos.Run;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** What came of many plays of one scene. */
final class PlayTotals {
  /** By invariant, in how many plays it was broken. */
  private final Map<String, Integer> broken = new TreeMap<>();

  private int plays;
  private int held;
  private int unjudged;
  private int notPlayed;

  /** One more play has ended. */
  void add(Run.Outcome outcome) {
    plays++;
    held += outcome.good() ? 1 : 0;
    unjudged += outcome.dropped() > 0 ? 1 : 0;
    outcome.breaches().stream()
        .map(Breach::invariant)
        .distinct()
        .forEach(invariant -> broken.merge(invariant, 1, Integer::sum));
  }

  /** One could not be played. */
  void notPlayed() {
    notPlayed++;
  }

  /** Whether all could be played and judged, and all held. */
  boolean good() {
    return held == plays && notPlayed == 0;
  }

  /** In how many plays each invariant was broken; those that held everywhere are left out. */
  Map<String, Integer> broken() {
    return broken;
  }

  /** The totals on one line. */
  String text() {
    String all = held + " of " + plays + " plays held";
    if (notPlayed > 0) {
      all += "; " + notPlayed + " could not be played";
    }
    if (unjudged > 0) {
      all += "; " + unjudged + " could not be judged whole";
    }
    if (broken.isEmpty()) {
      return all;
    }
    return all
        + "; broken: "
        + broken.entrySet().stream()
            .map(one -> one.getKey() + " in " + one.getValue())
            .collect(Collectors.joining(", "));
  }
}
