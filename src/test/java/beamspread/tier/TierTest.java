package beamspread.tier;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests a single member: which datagrams it accepts, which it rejects, and how it answers. */
class TierTest {
  private static final long SECOND = 1_000_000_000L;
  private static final TierSettings SETTINGS = TierSettings.defaults("trial");

  private record Sent(int to, byte[] bytes) {}

  private final ArrayDeque<Sent> sent = new ArrayDeque<>();
  private final List<String> changes = new ArrayList<>();
  private final Tier tier = member(1, 100);
  private long now;

  private Tier member(int number, long startSeconds) {
    return new Tier(
        SETTINGS,
        number,
        4,
        new MemberInfo("n" + number, "a", "1"),
        startSeconds,
        number,
        0,
        new TierActions() {
          @Override
          public void send(int to, byte[] datagram) {
            if (number == 1) {
              sent.add(new Sent(to, datagram));
            }
          }

          @Override
          public void memberChanged(MemberRecord before, MemberRecord after, String why) {
            if (number == 1) {
              changes.add(after.number() + " " + after.state() + " " + why);
            }
          }
        });
  }

  private byte[] encoded(MemberRecord sender, Datagram.Kind kind, Datagram.Item... items) {
    return new Datagram(kind, SETTINGS.tag(), sender, 1, 0, Datagram.NEVER, 0, List.of(items))
        .encode();
  }

  private static MemberRecord record(
      int number, long incarnation, int revision, MemberState state) {
    return new MemberRecord(number, incarnation, revision, state);
  }

  private void run(long nanos) {
    long until = now + nanos;
    while (tier.nextRunAt() <= until) {
      now = Math.max(now, tier.nextRunAt());
      tier.run(now);
    }
    now = until;
  }

  @Test
  void countsAndIgnoresMisplacedForeignAndMalformedDatagrams() throws Exception {
    MemberRecord two = record(2, 50, 0, MemberState.ALIVE);
    byte[] valid = encoded(two, Datagram.Kind.BEAT);
    int digest = tier.digest();
    tier.receive(now, 3, valid);
    tier.receive(now, -1, valid);
    tier.receive(now, 1, encoded(tier.self(), Datagram.Kind.BEAT));
    byte[] foreign = valid.clone();
    foreign[3]++;
    tier.receive(now, 2, foreign);
    tier.receive(now, 2, Arrays.copyOf(valid, 30));
    tier.receive(now, 2, Arrays.copyOf(valid, 300));
    assertThat(tier.digest()).isEqualTo(digest);
    assertThat(changes).isEmpty();
    assertThat(sent).isEmpty();
    assertThat(tier.counts().rejected("misplaced")).isEqualTo(3);
    assertThat(tier.counts().rejected("foreign")).isEqualTo(1);
    assertThat(tier.counts().rejected("malformed")).isEqualTo(2);

    tier.receive(now, 2, valid);
    assertThat(changes).containsExactly("2 ALIVE reported by itself");
    // An earlier incarnation: the sender gets the known record, in a datagram no larger than its
    // own.
    MemberRecord pastRecord = record(2, 49, 0, MemberState.ALIVE);
    byte[] pastDatagram = encoded(pastRecord, Datagram.Kind.BEAT);
    tier.receive(now, 2, pastDatagram);
    assertThat(tier.counts().rejected("past")).isEqualTo(1);
    assertThat(tier.member(2)).isEqualTo(two);
    assertThat(sent).hasSize(1);
    assertThat(sent.peek().bytes().length).isLessThanOrEqualTo(pastDatagram.length);
    assertThat(Datagram.decode(sent.poll().bytes(), SETTINGS.tag()).items())
        .containsExactly(new Datagram.RecordItem(two));
  }

  @Test
  void refutesReportThatItIsGone() throws Exception {
    MemberRecord two = record(2, 50, 0, MemberState.ALIVE);
    MemberRecord self = tier.self();
    MemberRecord gone = record(1, self.incarnation(), self.revision(), MemberState.GONE);
    tier.receive(now, 2, encoded(two, Datagram.Kind.BEAT, new Datagram.RecordItem(gone)));
    assertThat(tier.self().revision()).isEqualTo(self.revision() + 1);
    assertThat(tier.self().state().isActive()).isTrue();
    run(SECOND);
    assertThat(Datagram.decode(sent.peekLast().bytes(), SETTINGS.tag()).senderRecord())
        .isEqualTo(tier.self());
    // A repeated report is already refuted.
    tier.receive(now, 2, encoded(two, Datagram.Kind.BEAT, new Datagram.RecordItem(gone)));
    assertThat(tier.self().revision()).isEqualTo(self.revision() + 1);
  }

  @Test
  void ignoresGoneRecordOfEarlierIncarnation() {
    tier.receive(now, 2, encoded(record(2, 50, 0, MemberState.ALIVE), Datagram.Kind.BEAT));
    MemberRecord three = record(3, 60, 0, MemberState.ALIVE);
    MemberRecord restarted = record(2, 51, 0, MemberState.ALIVE);
    tier.receive(now, 2, encoded(restarted, Datagram.Kind.BEAT));
    MemberRecord gone = record(2, 50, 3, MemberState.GONE);
    tier.receive(now, 3, encoded(three, Datagram.Kind.BEAT, new Datagram.RecordItem(gone)));
    assertThat(tier.member(2)).isEqualTo(restarted);
    MemberRecord left = record(2, 51, 1, MemberState.LEFT);
    tier.receive(now, 3, encoded(three, Datagram.Kind.BEAT, new Datagram.RecordItem(left)));
    assertThat(tier.member(2)).isEqualTo(left);
    tier.receive(
        now,
        3,
        encoded(
            three,
            Datagram.Kind.BEAT,
            new Datagram.RecordItem(record(2, 51, 9, MemberState.ALIVE))));
    assertThat(tier.member(2)).isEqualTo(left);
  }

  @Test
  void raisesItsIncarnationAboveOtherProcessUntilLimit() {
    MemberRecord two = record(2, 50, 0, MemberState.ALIVE);
    long otherIncarnation = tier.self().incarnation() + 5;
    for (int attempt = 0; attempt < 4; attempt++) {
      MemberRecord other = record(1, otherIncarnation, 0, MemberState.ALIVE);
      tier.receive(now, 2, encoded(two, Datagram.Kind.BEAT, new Datagram.RecordItem(other)));
      assertThat(tier.self().incarnation()).isEqualTo(otherIncarnation + 1);
      otherIncarnation += 5;
    }
    // Two processes that both receive the datagrams would raise their incarnations forever; this
    // one gives way in the end.
    MemberRecord successor = record(1, otherIncarnation, 0, MemberState.ALIVE);
    tier.receive(now, 2, encoded(two, Datagram.Kind.BEAT, new Datagram.RecordItem(successor)));
    assertThat(tier.superseded()).isTrue();
    sent.clear();
    run(5 * SECOND);
    assertThat(sent).isEmpty();
    // Once the other process is gone, this one is the member again.
    MemberRecord gone = record(1, otherIncarnation, 2, MemberState.GONE);
    tier.receive(now, 2, encoded(two, Datagram.Kind.BEAT, new Datagram.RecordItem(gone)));
    assertThat(tier.superseded()).isFalse();
    assertThat(tier.self().incarnation()).isEqualTo(otherIncarnation + 1);
    run(SECOND);
    assertThat(sent).isNotEmpty();
  }

  @Test
  void singleReporterCannotRemoveMember() {
    int subject = -1;
    int[] otherObservers = {};
    Rings rings = new Rings(SETTINGS.tag(), new int[] {0, 1, 2, 3});
    for (int number : new int[] {0, 2, 3}) {
      tier.receive(
          now, number, encoded(record(number, 50, 0, MemberState.ALIVE), Datagram.Kind.BEAT));
      int[] observers = rings.observers(number, other -> true);
      if (observers.length == 3) {
        subject = number;
        otherObservers = Arrays.stream(observers).filter(other -> other != 1).toArray();
      }
    }
    assertThat(subject).isNotNegative();
    run(SECOND);
    MemberRecord subjectRecord = record(subject, 50, 0, MemberState.ALIVE);
    MemberRecord firstReporter = record(otherObservers[0], 50, 0, MemberState.ALIVE);
    int revisionHash = SuspicionReport.revisionHash(subjectRecord);
    for (int sequence = 1; sequence < 50; sequence++) {
      SuspicionReport repeated =
          new SuspicionReport(subject, revisionHash, otherObservers[0], sequence, true);
      tier.receive(
          now,
          otherObservers[0],
          encoded(firstReporter, Datagram.Kind.BEAT, new Datagram.SuspicionItem(repeated)));
      tier.run(now);
    }
    assertThat(tier.member(subject).state()).isEqualTo(MemberState.ALIVE);
    TierView.MemberView memberView = tier.view(now).members().get(subject);
    assertThat(memberView.missedBy()).containsExactly(otherObservers[0]);
    assertThat(memberView.isSuspect()).isTrue();
    // Reports about another revision, by an unknown member, by the subject itself or in this
    // member's name do not count.
    for (SuspicionReport other :
        List.of(
            new SuspicionReport(subject, revisionHash + 1 & 0xFFFF, otherObservers[1], 1, true),
            new SuspicionReport(subject, revisionHash, 9, 1, true),
            new SuspicionReport(subject, revisionHash, subject, 1, true),
            new SuspicionReport(subject, revisionHash, 1, 1, true))) {
      tier.receive(
          now,
          otherObservers[0],
          encoded(firstReporter, Datagram.Kind.BEAT, new Datagram.SuspicionItem(other)));
    }
    run(300_000_000L);
    assertThat(tier.member(subject).state()).isEqualTo(MemberState.ALIVE);
    SuspicionReport secondReport =
        new SuspicionReport(subject, revisionHash, otherObservers[1], 1, true);
    MemberRecord secondReporter = record(otherObservers[1], 50, 0, MemberState.ALIVE);
    tier.receive(
        now,
        otherObservers[1],
        encoded(secondReporter, Datagram.Kind.BEAT, new Datagram.SuspicionItem(secondReport)));
    run(250_000_000L);
    // Two of the three observers suspect it, which is the quorum of two thirds.
    assertThat(tier.member(subject).state()).isEqualTo(MemberState.GONE);
  }

  @Test
  void quorumIsTwoThirdsOfObservers() {
    assertThat(
            new int[] {
              FailureQuorum.quorumSize(1), FailureQuorum.quorumSize(2), FailureQuorum.quorumSize(3)
            })
        .containsExactly(1, 2, 2);
    assertThat(
            new int[] {
              FailureQuorum.quorumSize(4), FailureQuorum.quorumSize(5), FailureQuorum.quorumSize(6)
            })
        .containsExactly(3, 4, 4);
    FailureQuorum quorum = new FailureQuorum();
    int[] observers = {1, 2, 3, 4, 5, 6};
    for (int reporter : new int[] {1, 2, 3}) {
      quorum.recordReport(0, new SuspicionReport(9, 1, reporter, 1, true));
    }
    assertThat(quorum.isGone(9, observers, false)).isFalse();
    // A reporter that is not an observer does not count, neither for nor against.
    quorum.recordReport(0, new SuspicionReport(9, 1, 7, 1, true));
    assertThat(quorum.isGone(9, observers, false)).isFalse();
    assertThat(quorum.isGone(9, new int[] {1, 2, 3, 4}, false)).isTrue();
    assertThat(quorum.isGone(9, new int[] {1}, false)).isFalse();
    assertThat(quorum.isGone(9, new int[] {1}, true)).isTrue();
    // Each reporter counts once, and a withdrawn report does not count.
    quorum.recordReport(0, new SuspicionReport(9, 1, 1, 2, false));
    assertThat(quorum.isGone(9, new int[] {1, 2, 3, 4}, false)).isFalse();
    assertThat(quorum.recordReport(0, new SuspicionReport(9, 1, 1, 1, true))).isFalse();
  }

  @Test
  void fartherMembersObserveWhereNeighboursAreUnhealthy() {
    int[] members = new int[50];
    for (int i = 0; i < members.length; i++) {
      members[i] = i;
    }
    Rings rings = new Rings(3, members);
    // Two thirds of the members are not healthy: each member still has three to six healthy
    // observers.
    java.util.function.IntPredicate healthy = number -> number % 3 == 0;
    for (int member : members) {
      for (int observer : rings.observers(member, healthy)) {
        assertThat(observer % 3).isZero();
        assertThat(rings.subjects(observer, healthy)).contains(member);
      }
      assertThat(rings.observers(member, healthy).length).isBetween(3, 6);
    }
  }

  @Test
  void ringNeighboursAreMutual() {
    int[] members = new int[200];
    for (int i = 0; i < members.length; i++) {
      members[i] = 3 * i;
    }
    Rings rings = new Rings(7, members);
    for (int member : members) {
      int[] neighbours = rings.neighbours(member);
      assertThat(neighbours.length).isBetween(3, 6);
      assertThat(neighbours).doesNotContain(member);
      for (int other : neighbours) {
        assertThat(rings.neighbours(other)).contains(member);
      }
    }
    assertThat(rings.neighbours(1)).isEmpty();
    assertThat(new Rings(7, new int[] {4}).neighbours(4)).isEmpty();
    assertThat(new Rings(7, new int[] {4, 5}).neighbours(4)).containsExactly(5);
  }

  @Test
  void rejectsInvalidSettingsNamingThem() {
    assertThatThrownBy(() -> new TierSettings("t", 250_000_000, 600_000_000, 1, 1, 1, 2000, 32_000))
        .hasMessage("silence must be at least three intervals");
    assertThatThrownBy(() -> TierSettings.defaults(" "))
        .hasMessage("name must have 1 to 64 characters");
  }

  /** Whatever datagrams arrive, a member's own record never goes back, and memory is bounded. */
  @Property(tries = 200)
  void ownRecordNeverGoesBack(@ForAll long seed) {
    java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
    Tier member = member(1, 100);
    long time = 0;
    long incarnation = member.self().incarnation();
    int revision = 0;
    for (int i = 0; i < 400; i++) {
      time += random.nextLong(100_000_000);
      member.run(time);
      int from = random.nextInt(6);
      MemberState[] ownStates = {MemberState.ALIVE, MemberState.PAUSED, MemberState.UNSURE};
      MemberRecord senderRecord =
          record(from, random.nextInt(4), random.nextInt(4), ownStates[i % 3]);
      MemberRecord subjectRecord =
          record(
              random.nextInt(8),
              random.nextBoolean() ? incarnation : random.nextInt(4),
              random.nextInt(4),
              MemberState.values()[random.nextInt(5)]);
      SuspicionReport report =
          new SuspicionReport(
              random.nextInt(8), SuspicionReport.revisionHash(subjectRecord), from, i, i % 4 != 0);
      member.receive(
          time,
          from,
          encoded(
              senderRecord,
              Datagram.Kind.BEAT,
              new Datagram.RecordItem(subjectRecord),
              new Datagram.SuspicionItem(report)));
      assertThat(member.self().incarnation()).isGreaterThanOrEqualTo(incarnation);
      if (member.self().incarnation() == incarnation) {
        assertThat(member.self().revision()).isGreaterThanOrEqualTo(revision);
      }
      assertThat(member.self().state().isActive()).isTrue();
      incarnation = member.self().incarnation();
      revision = member.self().revision();
    }
    assertThat(member.view(time).members()).hasSizeLessThanOrEqualTo(8);
  }
}
