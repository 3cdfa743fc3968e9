package beamspread.chaos;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * What befalls whom when, from a run's beginning. A schedule is drawn from its seed alone, so that
 * a seed is played again with the same faults at the same times.
 *
 * @param seconds for how long faults are thrown; all are over by then
 * @param settleSeconds for how long nothing befalls anybody after that
 */
public record Schedule(long seed, double seconds, double settleSeconds, List<Fault> faults) {

  /** Most faults of a run. */
  public static final int MOST_FAULTS = 500;

  /** A part of a flap. */
  private static final long LEAST_FLAP_NANOS = 20_000_000;

  /** In the order in which they begin. */
  public Schedule {
    faults =
        faults.stream()
            .sorted(Comparator.comparingLong(Fault::atNanos))
            .collect(Collectors.toUnmodifiableList());
  }

  /**
   * What is drawn.
   *
   * @param count how many faults
   * @param kinds of which kinds
   * @param leastSeconds shortest time of one
   * @param mostSeconds longest time of one
   */
  public record Draw(int count, List<Fault.Kind> kinds, double leastSeconds, double mostSeconds) {}

  /**
   * This schedule and faults drawn from its seed.
   *
   * @param links pairs that talk, each once
   * @param processes those that may be stopped and killed
   */
  public Schedule and(Draw draw, List<Network.Link> links, List<String> processes) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Fault.Kind> kinds =
        draw.kinds().stream()
            .filter(kind -> kind.links() ? !links.isEmpty() : !processes.isEmpty())
            .toList();
    List<Fault> all = new ArrayList<>(faults);
    for (int i = 0; i < draw.count() && !kinds.isEmpty(); i++) {
      Fault.Kind kind = kinds.get(random.nextInt(kinds.size()));
      double most = Math.min(draw.mostSeconds(), seconds);
      double least = Math.min(draw.leastSeconds(), most);
      double lasts = least + random.nextDouble() * (most - least);
      long at = (long) (random.nextDouble() * (seconds - lasts) * 1e9);
      List<String> from;
      List<String> to;
      if (kind.links()) {
        Network.Link link = links.get(random.nextInt(links.size()));
        boolean turned = random.nextBoolean();
        from = List.of(turned ? link.to() : link.from());
        to = List.of(turned ? link.from() : link.to());
      } else {
        from = List.of(processes.get(random.nextInt(processes.size())));
        to = List.of();
      }
      LinkState state = state(kind, random.nextDouble());
      if (kind == Fault.Kind.FLAP) {
        double every = Math.max(0.05, lasts / 8);
        all.addAll(flap(at, (long) (lasts * 1e9), (long) (every * 1e9), from, to));
      } else {
        all.add(new Fault(kind, at, (long) (lasts * 1e9), from, to, state, false));
      }
    }
    return new Schedule(seed, seconds, settleSeconds, all.subList(0, most(all)));
  }

  private static int most(List<Fault> all) {
    return Math.min(all.size(), MOST_FAULTS);
  }

  /** What a fault of a kind does to a link, from mild (0) to hard (1). */
  static LinkState state(Fault.Kind kind, double hard) {
    long nanos = (long) (2e6 + 3e8 * hard);
    return LinkState.of(
        kind, 0.02 + 0.38 * hard, nanos, nanos / 2, (long) (64_000 - 60_000 * hard));
  }

  /** Cuts with as much time between them, as many as fit. */
  static List<Fault> flap(long at, long lasts, long every, List<String> from, List<String> to) {
    long part = Math.max(LEAST_FLAP_NANOS, every / 2);
    List<Fault> cuts = new ArrayList<>();
    LinkState cut = state(Fault.Kind.CUT, 1);
    for (long begin = at; begin < at + lasts && cuts.size() < MOST_FAULTS; begin += 2 * part) {
      long length = Math.min(part, at + lasts - begin);
      cuts.add(new Fault(Fault.Kind.CUT, begin, length, from, to, cut, false));
    }
    return cuts;
  }

  /** When the last fault is over, from the run's beginning. */
  public long healedAtNanos() {
    return Math.max(
        (long) (seconds * 1e9), faults.stream().mapToLong(Fault::endNanos).max().orElse(0));
  }

  /** When the run ends, from its beginning. */
  public long endNanos() {
    return healedAtNanos() + (long) (settleSeconds * 1e9);
  }
}
