package beamspread.tier;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One member's part in a tier's membership: who is there, and what part of it this process hears
 * and is heard by. Not for more than one thread. All times are nanoseconds of one clock that never
 * runs backwards; the same calls with the same seed do the same.
 *
 * <p>Each member beats to those beside it on the rings and is watched by them. Whoever misses a
 * member says so to all; when most of those beside it do, it is gone. A member that hears that it
 * is gone speaks anew of itself and is back.
 */
public final class Tier {
  /** The largest datagram that is sent or taken, in bytes. */
  public static final int LARGEST_DATAGRAM = Datagram.LARGEST;

  /** An accusation that stands is said again after this, and forgotten after 2.5 times as long. */
  private static final long RENEW_NANOS = 10_000_000_000L;

  private static final long FORGET_NANOS = 25_000_000_000L;

  private final TierSettings settings;

  private final TierActions actions;
  private final int self;
  private final int tag;
  private final Identity identity;
  private final Roster roster = new Roster();
  private final Court court = new Court();
  private final News news = new News();
  private final Links links;
  private final Ears ears;
  private final TierCounts counts = new TierCounts();
  private final Sender sender;
  private final Comparison comparison;
  private final Map<Integer, Accusation> mine = new HashMap<>();
  private final Map<Integer, Long> saidAt = new HashMap<>();

  private int serial;
  private int members;
  private Rings rings;
  private int[] nearest = new int[0];
  private int[] beside = new int[0];
  private boolean ringsOld = true;
  private boolean courtOpen;
  private long turnDue;
  private long turns;
  private long version;

  /**
   * A member that has just started.
   *
   * @param self its number
   * @param members how many numbers there are to be knocked at, its own counted
   * @param startSeconds any clock's seconds at its start: higher for a later start where that clock
   *     was not set back, and put right by what the others know where it was
   */
  public Tier(
      TierSettings settings,
      int self,
      int members,
      Card card,
      long startSeconds,
      long seed,
      long now,
      TierActions actions) {
    this.settings = settings;
    this.self = self;
    this.members = members;

    this.actions = actions;
    this.tag = settings.tag();
    this.links = new Links(settings);
    this.ears = new Ears(settings);
    SplittableRandom random = new SplittableRandom(seed);
    long incarnation = (startSeconds & 0xFFFFFFFFL) << 16 | random.nextInt(1 << 16);
    this.identity = new Identity(self, incarnation, now);
    this.turnDue = now + (long) (random.nextDouble() * settings.intervalNanos());
    this.sender = new Sender(settings, actions, random, identity, roster, links, news, counts, now);
    this.comparison = new Comparison(settings, random, roster, sender, now);
    sender.cards().put(self, card);
    roster.take(now, identity.record());
  }

  /** When {@link #run} is to be called next. */
  public long due() {
    return Math.min(turnDue, sender.urgentAt());
  }

  /** There are so many numbers now. */
  public void resize(int count) {
    members = Math.min(count, Roster.MOST_MEMBERS);
  }

  /** Does what is due. */
  public void run(long now) {
    sender.refill(now);
    if (identity.superseded() || identity.hasLeft()) {
      turnDue = now + settings.intervalNanos();
      sender.rest();
      return;
    }
    boolean turn = now >= turnDue;
    if (turn) {
      turn(now);
    }
    if (courtOpen) {
      judge(now);
    }
    if (turn) {
      sender.beats(now, turns, beside, members);
      comparison.compare(now);
    } else if (now >= sender.urgentAt()) {
      sender.flush(now, beside);
    }
  }

  private void turn(long now) {
    turns++;
    if (ears.turn(now, turnDue) > 0) {
      counts.stood();
      links.stood(now);
    }
    // From now on, not from when it was due: after a stand the turns missed are not made up for.
    turnDue = Math.max(turnDue + settings.intervalNanos(), now + settings.intervalNanos() / 2);
    refreshRings(now);
    refreshWatched(now);
    listen(now);
    say(now);
    watch(now);
    court.expire(now - FORGET_NANOS);
    courtOpen = true;
    if (turns % 64 == 0) {
      forget(now);
    }
  }

  private void refreshRings(long now) {
    if (!ringsOld) {
      return;
    }
    ringsOld = false;
    rings = new Rings(tag, roster.hereNumbers());
    refreshWatched(now);
  }

  private void refreshWatched(long now) {
    nearest = rings.beside(self);
    beside = rings.watched(self, number -> sound(number) && !links.silent(now, number));
    links.each(
        link -> {
          if (!isBeside(link.getKey())) {
            link.getValue().unwatch();
          }
        });
    for (int number : beside) {
      links.to(number).watch(now);
    }
  }

  /** Whether nothing speaks against a member: it is well, and nobody misses it. */
  private boolean sound(int number) {
    MemberRecord of = roster.of(number);
    return of != null && of.state() == MemberState.ALIVE && court.accusers(number).length == 0;
  }

  private void listen(long now) {
    int heard = 0;
    int bothWays = 0;
    for (int number : beside) {
      bothWays += !links.silent(now, number) && links.hearsUs(now, number) ? 1 : 0;
    }
    for (int number : nearest) {
      heard += links.silent(now, number) ? 0 : 1;
    }
    ears.hear(now, nearest.length, heard, bothWays);
  }

  /** Says anew what this process is, where that has changed. */
  private void say(long now) {
    if (identity.become(now, ears.state(now))) {
      speak(now, "it says so itself");
    }
  }

  /** Speaks anew of itself: all that was said of it before is settled. */
  private void speak(long now, String why) {
    identity.beginLife();
    MemberRecord before = roster.of(self);
    MemberRecord own = identity.record();
    if (roster.take(now, own)) {
      court.acquit(self);
      tell(now, own);
      changed(before, own, why);
    }
  }

  private void tell(long now, MemberRecord record) {
    news.of(record, nearest.length);
    sender.hurry(now);
  }

  private void changed(MemberRecord before, MemberRecord after, String why) {
    version++;
    counts.changed();
    actions.changed(before, after, why);
  }

  /** Accuses neighbours that are silent, and takes back what holds no more. */
  private void watch(long now) {
    for (int number : beside) {
      Accusation said = mine.get(number);
      if (links.silent(now, number) && ears.mayAccuse(now)) {
        MemberRecord of = roster.of(number);
        if (said == null || !said.about(of) || now - saidAt.get(number) >= RENEW_NANOS) {
          accuse(now, of, true);
        }
      } else if (said != null && links.to(number).silence(now) < 2 * settings.intervalNanos()) {
        accuse(now, roster.of(number), false);
      }
    }
    for (int number : List.copyOf(mine.keySet())) {
      if (!isBeside(number)) {
        MemberRecord of = roster.of(number);
        if (of != null && of.state().here()) {
          accuse(now, of, false);
        } else {
          mine.remove(number);
        }
      }
    }
  }

  private void accuse(long now, MemberRecord of, boolean silent) {
    serial = serial + 1 & 0xFFFF;
    Accusation said = new Accusation(of.number(), Accusation.check(of), self, serial, silent);
    if (silent) {
      mine.put(of.number(), said);
      saidAt.put(of.number(), now);
    } else {
      mine.remove(of.number());
      saidAt.remove(of.number());
    }
    if (court.take(now, said)) {
      news.of(said, nearest.length);
      sender.hurry(now);
      courtOpen = true;
    }
  }

  private void judge(long now) {
    courtOpen = false;
    refreshRings(now);
    for (int subject : court.accused()) {
      MemberRecord of = roster.of(subject);
      if (subject == self || of == null || !of.state().here()) {
        continue;
      }
      if (court.gone(subject, rings.judges(subject, this::sound), roster.here() == 2)) {
        MemberRecord gone =
            new MemberRecord(subject, of.incarnation(), of.life(), MemberState.GONE);
        take(now, gone, "missed by " + words(court.accusers(subject)));
        // Its watchers watch others from now on.
        refreshRings(now);
      }
    }
  }

  private static String words(int[] numbers) {
    return String.join(", ", Arrays.stream(numbers).mapToObj(Integer::toString).toList());
  }

  /** Takes a record if it is newer than what is known. */
  private void take(long now, MemberRecord record, String why) {
    if (record.number() == self) {
      defend(now, record);
      return;
    }
    MemberRecord before = roster.of(record.number());
    if (!roster.take(now, record)) {
      return;
    }
    int number = record.number();
    boolean anew = before == null || before.incarnation() != record.incarnation();
    if (anew || before.life() != record.life() || !record.state().here()) {
      court.acquit(number);
    }
    if (anew) {
      sender.cards().remove(number);
      court.silence(number);
      if (before != null) {
        links.to(number).restart(now);
      }
    }
    if (!record.state().here()) {
      court.silence(number);
      mine.remove(number);
    }
    if (before == null || before.state().here() != record.state().here()) {
      ringsOld = true;
    }
    tell(now, record);
    changed(before, record, why);
  }

  /** Something is said of this very member. */
  private void defend(long now, MemberRecord said) {
    MemberRecord before = identity.record();
    Identity.Answer answer = identity.defend(now, said);
    if (answer.speaks()) {
      speak(now, answer.why());
    } else if (answer == Identity.Answer.SUPERSEDED) {
      changed(before, said, answer.why());
    }
  }

  private boolean isBeside(int number) {
    return Arrays.binarySearch(beside, number) >= 0;
  }

  /**
   * A datagram has come.
   *
   * @param from the number of the member whose address it came from; negative if it is nobody's
   */
  public void received(long now, int from, byte[] bytes) {
    if (identity.hasLeft()) {
      return;
    }
    Datagram datagram;
    try {
      datagram = Datagram.read(bytes, tag);
      if (from < 0 || datagram.own().number() != from || from == self) {
        throw new Datagram.WrongException(Datagram.Wrong.MISPLACED);
      }
      MemberRecord known = roster.of(from);
      if (known != null && datagram.own().incarnation() < known.incarnation()) {
        // A process that does not know of its successor, or one whose clock was set back.
        sender.owe(from, -1);
        sender.sendRecord(now, from, known);
        throw new Datagram.WrongException(Datagram.Wrong.PAST);
      }
    } catch (Datagram.WrongException e) {
      counts.wrong(e.why());
      return;
    }
    counts.received();
    take(now, datagram.own(), "it says so itself");
    Edge edge = links.to(from);
    edge.heard(now, datagram.seq());
    if (datagram.echoAgeNanos() != Datagram.NEVER && edge.hasSent(datagram.echo())) {
      edge.heardBy(now - datagram.echoAgeNanos());
    }
    for (Datagram.Item item : datagram.items()) {
      take(now, from, item);
    }
    MemberRecord known = roster.of(from);
    if (known != null && !known.state().here()) {
      // It is there after all: told so, it can speak anew of itself.
      sender.sendRecord(now, from, known);
    } else if (datagram.kind() == Datagram.Kind.KNOCK) {
      sender.beat(now, from, Datagram.Kind.ANSWER, -1);
    } else if (datagram.kind() == Datagram.Kind.BEAT && !isBeside(from)) {
      sender.owe(from, -1);
    }
    if (datagram.digest() != roster.digest()) {
      comparison.differsFrom(from);
    }
  }

  private void take(long now, int from, Datagram.Item item) {
    if (item instanceof Datagram.Told told) {
      if (told.record().number() < Roster.MOST_MEMBERS) {
        take(now, told.record(), "told by " + from);
      }
    } else if (item instanceof Datagram.Accused accused) {
      take(now, accused.accusation());
    } else if (item instanceof Datagram.Shown shown) {
      MemberRecord of = roster.of(shown.number());
      if (of != null && of.incarnation() == shown.incarnation() && shown.number() != self) {
        sender.cards().put(shown.number(), shown.card());
      }
    } else if (item instanceof Datagram.CardWanted wanted) {
      if (sender.cards().containsKey(wanted.number())) {
        sender.owe(from, wanted.number());
      }
    } else if (item instanceof Datagram.Sums sums) {
      comparison.answer(now, from, sums.sums());
    }
  }

  private void take(long now, Accusation said) {
    MemberRecord of = roster.of(said.subject());
    MemberRecord by = roster.of(said.accuser());
    boolean holds =
        of != null
            && of.state().here()
            && said.about(of)
            && by != null
            && by.state().here()
            && said.accuser() != self
            && said.accuser() != said.subject();
    if (holds && court.take(now, said)) {
      news.of(said, nearest.length);
      sender.hurry(now);
      courtOpen = true;
    }
  }

  private void forget(long now) {
    List<Integer> over = new ArrayList<>();
    roster.each(
        record -> {
          if (!record.state().here()
              && now - roster.since(record.number()) > settings.rememberNanos()) {
            over.add(record.number());
          }
        });
    for (int number : over) {
      roster.forget(number);
      sender.cards().remove(number);
      links.forget(number);
      court.acquit(number);
    }
  }

  /** This process ends on purpose: all are told at once, and nothing is done any more. */
  public void leave(long now) {
    if (identity.superseded() || identity.hasLeft()) {
      return;
    }
    identity.leave();
    roster.take(now, identity.record());
    List<Integer> told = new ArrayList<>();
    for (int number : beside) {
      told.add(number);
    }
    for (int i = 0; i < 2 * Rings.RINGS; i++) {
      int other = sender.anyHereBut(told.stream().mapToInt(Integer::intValue).toArray());
      if (other >= 0) {
        told.add(other);
      }
    }
    // Twice, since each may be lost.
    for (int i = 0; i < 2; i++) {
      told.forEach(number -> sender.send(now, number, Datagram.Kind.BEAT, List.of()));
    }
  }

  /** What has been sent and taken. */
  public TierCounts counts() {
    return counts;
  }

  /** Whether another process has taken its number, and this one is silent. */
  public boolean superseded() {
    return identity.superseded();
  }

  /** What it says of itself. */
  public MemberRecord self() {
    return identity.record();
  }

  /** What part of the tier this process hears and is heard by. */
  public TierView.Connected connected(long now) {
    int heard = 0;
    int heardBy = 0;
    int both = 0;
    for (int number : nearest) {
      boolean hears = !links.silent(now, number);
      boolean heardByIt = links.hearsUs(now, number);
      heard += hears ? 1 : 0;
      heardBy += heardByIt ? 1 : 0;
      both += hears && heardByIt ? 1 : 0;
    }
    int of = Math.max(1, roster.counted());
    int others = Math.max(0, roster.here() - 1);
    return new TierView.Connected(
        part(heard, others, of), part(heardBy, others, of), part(both, others, of), of);
  }

  private double part(int count, int others, int of) {
    double share = nearest.length == 0 ? 0 : (double) count / nearest.length;
    return (1 + others * share) / of;
  }

  /** The tier as this process sees it. */
  public TierView view(long now) {
    List<TierView.Seen> seen = new ArrayList<>();
    boolean sure = ears.mayAccuse(now);
    roster.each(
        record -> {
          int number = record.number();
          Edge edge = links.known(number);
          int[] missedBy = court.accusers(number);
          double doubt = (double) missedBy.length / Court.needed(Math.max(1, nearest.length));
          double confidence = record.state().here() ? Math.max(0, 1 - doubt) : 1;
          seen.add(
              new TierView.Seen(
                  record,
                  sender.cards().get(number),
                  now - roster.since(number),
                  edge == null || edge.heardAt() == Edge.NEVER ? -1 : now - edge.heardAt(),
                  Arrays.stream(missedBy).boxed().toList(),
                  sure || number == self ? confidence : confidence / 2));
        });
    return new TierView(
        version, roster.digest(), self, identity.state(), connected(now), List.copyOf(seen));
  }

  /** What is known of a member; null for nothing. */
  public MemberRecord member(int number) {
    return roster.of(number);
  }

  /** How many members take part, as far as is known. */
  public int here() {
    return roster.here();
  }

  /** The same at all members that know the same. */
  public int digest() {
    return roster.digest();
  }
}
