package beamspread.tier;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Writes a member's datagrams: beats to those beside it, answers to those that are owed one, knocks
 * at those that may come back, and news as far as the budget of bytes goes.
 */
final class Sender {
  /** News waits this long for more, and this long after the news before. */
  private static final long GATHER_NANOS = 15_000_000;

  private static final long FLUSH_NANOS = 60_000_000;

  private static final int MOST_OWED = 64;
  private static final int KNOCKS_ALONE = 3;

  /** Tries to meet a member whose card is not known. */
  private static final int CARD_TRIES = 8;

  private final TierSettings settings;
  private final TierActions actions;
  private final SplittableRandom random;
  private final Identity identity;
  private final Roster roster;
  private final Links links;
  private final News news;
  private final TierCounts counts;
  private final int tag;
  private final Map<Integer, Card> cards = new HashMap<>();

  /** Who is owed a beat at the next turn, and the card that goes with it, -1 for none. */
  private final Map<Integer, Integer> owed = new LinkedHashMap<>();

  /**
   * Bytes for news. Half of what may be sent a second is for it; the other half is for the smallest
   * beats, of which there are as many whatever happens.
   */
  private double budget;

  private long budgetAt;
  private long urgentAt = Long.MAX_VALUE;
  private long flushedAt;

  Sender(
      TierSettings settings,
      TierActions actions,
      SplittableRandom random,
      Identity identity,
      Roster roster,
      Links links,
      News news,
      TierCounts counts,
      long now) {
    this.settings = settings;
    this.actions = actions;
    this.random = random;
    this.identity = identity;
    this.roster = roster;
    this.links = links;
    this.news = news;
    this.counts = counts;
    this.tag = settings.tag();
    this.budget = settings.burstBytes();
    this.budgetAt = now;
    this.flushedAt = now;
  }

  /** What other members are told of these; the caller keeps them true. */
  Map<Integer, Card> cards() {
    return cards;
  }

  /** When news is to go out ahead of the next turn; never where there is none. */
  long urgentAt() {
    return urgentAt;
  }

  /** Nothing goes out ahead of the next turn. */
  void rest() {
    urgentAt = Long.MAX_VALUE;
  }

  /** Time has passed, and with it more may be sent. */
  void refill(long now) {
    double earned = (now - budgetAt) / 1e9 * settings.bytesPerSecond() / 2;
    budget = Math.min(settings.burstBytes(), budget + earned);
    budgetAt = now;
  }

  /** There is news. */
  void hurry(long now) {
    urgentAt = Math.min(urgentAt, Math.max(now + GATHER_NANOS, flushedAt + flushNanos()));
  }

  /** Where much has been sent, news waits for the next turn's beats. */
  private long flushNanos() {
    return budget > settings.burstBytes() / 2.0 ? FLUSH_NANOS : settings.intervalNanos();
  }

  /** Somebody is to get a beat at the next turn, with this card or -1 for none. */
  void owe(int number, int shown) {
    if (owed.size() < MOST_OWED || owed.containsKey(number)) {
      owed.merge(number, shown, Math::max);
    }
  }

  /**
   * Sends what goes out with a turn.
   *
   * @param turns how many turns there were
   * @param beside those beside this member, in ascending order
   * @param members how many numbers there are
   */
  void beats(long now, long turns, int[] beside, int members) {
    urgentAt = Long.MAX_VALUE;
    flushedAt = now;
    for (int number : beside) {
      if (links.silent(now, number) && (turns + number) % 4 != 0) {
        continue;
      }
      boolean owes = owed.containsKey(number);
      // What was sent for news a moment ago has told that this process is here.
      boolean told = now - links.to(number).sentAt() <= settings.intervalNanos() / 2;
      if (owes || !news.isEmpty() || !told) {
        beat(now, number, Datagram.Kind.BEAT, owes ? owed.remove(number) : -1);
      }
    }
    owed.forEach((number, shown) -> beat(now, number, Datagram.Kind.ANSWER, shown));
    owed.clear();
    knocks(now, turns, beside, members);
  }

  private void knocks(long now, long turns, int[] beside, int members) {
    if (roster.here() == 1) {
      for (int i = 0; i < KNOCKS_ALONE; i++) {
        knock(now, anyAway(members));
      }
      return;
    }
    if (turns % 4 == 0) {
      knock(now, anyAway(members));
    }
    if (turns % 2 == 0) {
      knock(now, anyHereBut(beside));
    }
  }

  private void knock(long now, int number) {
    if (number >= 0) {
      beat(now, number, Datagram.Kind.KNOCK, -1);
    }
  }

  /** A member that may come back, or a number of which nothing is known; -1 if there is none. */
  private int anyAway(int members) {
    int chosen = -1;
    int found = 0;
    for (int number = 0; number < members; number++) {
      MemberRecord of = roster.of(number);
      boolean away =
          number != identity.number()
              && (of == null || of.state() == MemberState.GONE || of.state() == MemberState.LEFT);
      if (away && random.nextInt(++found) == 0) {
        chosen = number;
      }
    }
    return chosen;
  }

  /** A member that is here and not one of these; -1 if chance chose one of them, or itself. */
  int anyHereBut(int[] these) {
    int self = identity.number();
    int[] here = roster.hereNumbers();
    int number = here.length == 0 ? self : here[random.nextInt(here.length)];
    boolean one = number == self;
    for (int other : these) {
      one |= other == number;
    }
    return one ? -1 : number;
  }

  /** Sends news ahead of the next turn, as far as the budget goes. */
  void flush(long now, int[] beside) {
    urgentAt = Long.MAX_VALUE;
    flushedAt = now;
    for (int number : beside) {
      if (news.isEmpty() || budget <= 0) {
        break;
      }
      if (links.silent(now, number)) {
        continue;
      }
      beat(now, number, Datagram.Kind.BEAT, -1);
      budget -= Datagram.SMALLEST;
    }
    if (!news.isEmpty() && budget > 0) {
      urgentAt = now + flushNanos();
    }
  }

  /** Sends a datagram with news, and with the card of a member or -1 for none. */
  void beat(long now, int to, Datagram.Kind kind, int shown) {
    List<Datagram.Item> items = new ArrayList<>();
    int room = Datagram.LARGEST - Datagram.HEADER;
    if (shown >= 0 && cards.containsKey(shown) && roster.of(shown) != null) {
      Datagram.Shown one =
          new Datagram.Shown(shown, roster.of(shown).incarnation(), cards.get(shown));
      items.add(one);
      room -= one.size();
    }
    if (links.silent(now, to)) {
      // Whoever is not heard is not told what would have to be told again.
      send(now, to, kind, items);
      return;
    }
    int wanted = wantedCard();
    if (wanted >= 0 && kind == Datagram.Kind.BEAT) {
      items.add(new Datagram.CardWanted(wanted));
      room -= Datagram.CardWanted.SIZE;
    }
    // What fits into the smallest datagram costs nothing.
    items.addAll(news.take(budget > 0 ? room : room - (Datagram.LARGEST - Datagram.SMALLEST)));
    send(now, to, kind, items);
  }

  /** A member whose card is not known; -1 if there is none, or none was met in some tries. */
  private int wantedCard() {
    if (cards.size() >= roster.here()) {
      return -1;
    }
    for (int i = 0; i < CARD_TRIES; i++) {
      int number = random.nextInt(roster.end());
      MemberRecord of = roster.of(number);
      if (of != null && of.state().here() && !cards.containsKey(number)) {
        return number;
      }
    }
    return -1;
  }

  /** Tells a member what is known of it; never more than what it sent. */
  void sendRecord(long now, int to, MemberRecord record) {
    send(now, to, Datagram.Kind.ANSWER, List.of(new Datagram.Told(record)));
  }

  /** Sends a datagram, unless another process has taken this member's number. */
  void send(long now, int to, Datagram.Kind kind, List<Datagram.Item> items) {
    if (identity.superseded()) {
      // It goes on listening: should its successor be gone, it is the member again.
      return;
    }
    Edge edge = links.to(to);
    long age = edge.heardAt() == Edge.NEVER ? Datagram.NEVER : now - edge.heardAt();
    Datagram datagram =
        new Datagram(
            kind, tag, identity.record(), edge.nextSeq(), edge.echo(), age, roster.digest(), items);
    byte[] bytes = datagram.bytes();
    edge.sent(now);
    budget -= bytes.length - Datagram.SMALLEST;
    counts.sent(bytes.length);
    actions.send(to, bytes);
  }
}
