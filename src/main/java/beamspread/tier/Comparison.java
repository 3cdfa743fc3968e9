package beamspread.tier;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Compares rosters with members that know something else, and makes up the difference: one that has
 * just come asks at once, another where news has not made it up.
 */
final class Comparison {
  /** Rosters are compared no more often than this. */
  private static final long COMPARE_NANOS = 1_000_000_000;

  private static final int NOBODY = -1;

  private final TierSettings settings;
  private final SplittableRandom random;
  private final Roster roster;
  private final Sender sender;
  private final long startedAt;
  private long differsFrom;
  private long comparedAt;
  private int differs = NOBODY;

  Comparison(
      TierSettings settings, SplittableRandom random, Roster roster, Sender sender, long now) {
    this.settings = settings;
    this.random = random;
    this.roster = roster;
    this.sender = sender;
    this.startedAt = now;
    this.differsFrom = now;
    this.comparedAt = now;
  }

  /** A member knows something else. */
  void differsFrom(int number) {
    differs = number;
  }

  /** Asks one that knows something else for what it knows. */
  void compare(long now) {
    int with = differs;
    differs = NOBODY;
    if (with == NOBODY) {
      differsFrom = now;
    }
    boolean young = now - startedAt < Identity.YOUNG_NANOS;
    long often = young ? settings.intervalNanos() / 2 : COMPARE_NANOS;
    boolean settled = young || now - differsFrom >= 2 * settings.intervalNanos();
    if (with != NOBODY && settled && now - comparedAt >= often) {
      comparedAt = now;
      sender.send(now, with, Datagram.Kind.COMPARE, List.of(new Datagram.Sums(roster.sums())));
    }
  }

  /** Tells as many records as fit of the parts that differ, from a place that chance chooses. */
  void answer(long now, int to, int[] sums) {
    int[] ours = roster.sums();
    int end = roster.end();
    int first = random.nextInt(end);
    List<Datagram.Item> items = new ArrayList<>();
    int room = Datagram.LARGEST - Datagram.HEADER;
    for (int i = 0; i < end && room >= Datagram.Told.SIZE; i++) {
      MemberRecord record = roster.of((first + i) % end);
      if (record != null
          && sums[Roster.bucket(record.number())] != ours[Roster.bucket(record.number())]) {
        items.add(new Datagram.Told(record));
        room -= Datagram.Told.SIZE;
      }
    }
    sender.send(now, to, Datagram.Kind.ANSWER, items);
  }
}
