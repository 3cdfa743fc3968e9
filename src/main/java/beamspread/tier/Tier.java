package beamspread.tier;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One member of a tier: tracks which members are active and which of them this process reaches. Not
 * thread-safe. All times are nanoseconds of one monotonic clock; the same calls with the same seed
 * give the same results.
 *
 * <p>Each member sends heartbeats to its neighbours on the rings and is observed by them. An
 * observer that misses a member reports its suspicion to all members; when enough observers do, the
 * member is declared gone. A member that learns that it was declared gone refutes this with a new
 * revision of its record and is active again.
 */
public final class Tier {
  /** Maximum size of a datagram that is sent or accepted, in bytes. */
  public static final int MAX_DATAGRAM_BYTES = Datagram.MAX_BYTES;

  /** Interval at which this member repeats a report while the suspicion lasts. */
  private static final long REPORT_RENEWAL_NANOS = 10_000_000_000L;

  /** Reports expire 2.5 renewal intervals after they were received. */
  private static final long REPORT_EXPIRY_NANOS = 25_000_000_000L;

  private final TierSettings settings;

  private final TierActions actions;
  private final int self;
  private final int tag;
  private final LocalMember localMember;
  private final MemberTable memberTable = new MemberTable();
  private final FailureQuorum failureQuorum = new FailureQuorum();
  private final GossipQueue gossip = new GossipQueue();
  private final LinkTable links;
  private final LocalHealth localHealth;
  private final TierCounts counts = new TierCounts();
  private final DatagramSender sender;
  private final AntiEntropy antiEntropy;
  private final Map<Integer, SuspicionReport> ownReports = new HashMap<>();
  private final Map<Integer, Long> reportedAt = new HashMap<>();

  private int lastReportSequence;
  private int numberCount;
  private Rings rings;
  private int[] neighbours = new int[0];
  private int[] subjects = new int[0];
  private boolean ringsOutdated = true;
  private boolean quorumCheckPending;
  private long periodDueAt;
  private long periods;
  private long version;

  /**
   * Creates a member that has just started.
   *
   * @param self the member's number
   * @param numberCount how many member numbers there are, this member's included
   * @param startSeconds seconds of any clock at the start of the process: higher for a later start.
   *     If the clock was set back, the incarnation is corrected by what the other members know.
   */
  public Tier(
      TierSettings settings,
      int self,
      int numberCount,
      MemberInfo info,
      long startSeconds,
      long seed,
      long now,
      TierActions actions) {
    this.settings = settings;
    this.self = self;
    this.numberCount = numberCount;

    this.actions = actions;
    this.tag = settings.tag();
    this.links = new LinkTable(settings);
    this.localHealth = new LocalHealth(settings);
    SplittableRandom random = new SplittableRandom(seed);
    long incarnation = (startSeconds & 0xFFFFFFFFL) << 16 | random.nextInt(1 << 16);
    this.localMember = new LocalMember(self, incarnation, now);
    this.periodDueAt = now + (long) (random.nextDouble() * settings.intervalNanos());
    this.sender =
        new DatagramSender(
            settings, actions, random, localMember, memberTable, links, gossip, counts, now);
    this.antiEntropy = new AntiEntropy(settings, random, memberTable, sender, now);
    sender.infoByMember().put(self, info);
    memberTable.merge(now, localMember.record());
  }

  /** Returns when {@link #run} is to be called next. */
  public long nextRunAt() {
    return Math.min(periodDueAt, sender.flushDueAt());
  }

  /** Sets how many member numbers there are. */
  public void resize(int count) {
    numberCount = Math.min(count, MemberTable.MAX_MEMBERS);
  }

  /** Runs the protocol period if it is due, and sends the gossip that is due. */
  public void run(long now) {
    sender.refillBudget(now);
    if (localMember.superseded() || localMember.hasLeft()) {
      periodDueAt = now + settings.intervalNanos();
      sender.cancelFlush();
      return;
    }
    boolean periodDue = now >= periodDueAt;
    if (periodDue) {
      runPeriod(now);
    }
    if (quorumCheckPending) {
      checkQuorums(now);
    }
    if (periodDue) {
      sender.sendHeartbeats(now, periods, subjects, numberCount);
      antiEntropy.compareIfDue(now);
    } else if (now >= sender.flushDueAt()) {
      sender.flushGossip(now, subjects);
    }
  }

  private void runPeriod(long now) {
    periods++;
    if (localHealth.recordPeriod(now, periodDueAt) > 0) {
      counts.recordStall();
      links.recordStall(now);
    }
    // Scheduled from now, not from the due time: periods missed during a stall are not made up for.
    periodDueAt =
        Math.max(periodDueAt + settings.intervalNanos(), now + settings.intervalNanos() / 2);
    refreshRings(now);
    refreshSubjects(now);
    updateLocalHealth(now);
    updateOwnState(now);
    updateReports(now);
    failureQuorum.expireReports(now - REPORT_EXPIRY_NANOS);
    quorumCheckPending = true;
    if (periods % 64 == 0) {
      removeExpiredRecords(now);
    }
  }

  private void refreshRings(long now) {
    if (!ringsOutdated) {
      return;
    }
    ringsOutdated = false;
    rings = new Rings(tag, memberTable.activeNumbers());
    refreshSubjects(now);
  }

  private void refreshSubjects(long now) {
    neighbours = rings.neighbours(self);
    subjects = rings.subjects(self, number -> isHealthy(number) && !links.isSilent(now, number));
    links.forEach(
        link -> {
          if (!isSubject(link.getKey())) {
            link.getValue().stopObserving();
          }
        });
    for (int number : subjects) {
      links.getOrCreate(number).startObserving(now);
    }
  }

  /** Returns whether a member reports itself as alive and nobody suspects it. */
  private boolean isHealthy(int number) {
    MemberRecord record = memberTable.find(number);
    return record != null
        && record.state() == MemberState.ALIVE
        && failureQuorum.reporters(number).length == 0;
  }

  private void updateLocalHealth(long now) {
    int heard = 0;
    int bothWays = 0;
    for (int number : subjects) {
      bothWays += !links.isSilent(now, number) && links.isHeardBy(now, number) ? 1 : 0;
    }
    for (int number : neighbours) {
      heard += links.isSilent(now, number) ? 0 : 1;
    }
    localHealth.recordNeighbours(now, neighbours.length, heard, bothWays);
  }

  /** Publishes this process's state if it has changed. */
  private void updateOwnState(long now) {
    if (localMember.changeState(now, localHealth.state(now))) {
      publishOwnRecord(now, "reported by itself");
    }
  }

  /**
   * Publishes a new revision of this member's record, which makes earlier reports about it
   * obsolete.
   */
  private void publishOwnRecord(long now, String reason) {
    localMember.startNextRevision();
    MemberRecord previous = memberTable.find(self);
    MemberRecord own = localMember.record();
    if (memberTable.merge(now, own)) {
      failureQuorum.clearSubject(self);
      gossipRecord(now, own);
      notifyChange(previous, own, reason);
    }
  }

  private void gossipRecord(long now, MemberRecord record) {
    gossip.enqueue(record, neighbours.length);
    sender.scheduleFlush(now);
  }

  private void notifyChange(MemberRecord before, MemberRecord after, String reason) {
    version++;
    counts.recordChange();
    actions.memberChanged(before, after, reason);
  }

  /** Reports silent members, and withdraws reports that no longer apply. */
  private void updateReports(long now) {
    for (int number : subjects) {
      SuspicionReport report = ownReports.get(number);
      if (links.isSilent(now, number) && localHealth.maySuspectOthers(now)) {
        MemberRecord record = memberTable.find(number);
        if (report == null
            || !report.concerns(record)
            || now - reportedAt.get(number) >= REPORT_RENEWAL_NANOS) {
          reportSuspicion(now, record, true);
        }
      } else if (report != null
          && links.getOrCreate(number).silenceNanos(now) < 2 * settings.intervalNanos()) {
        reportSuspicion(now, memberTable.find(number), false);
      }
    }
    for (int number : List.copyOf(ownReports.keySet())) {
      if (!isSubject(number)) {
        MemberRecord record = memberTable.find(number);
        if (record != null && record.state().isActive()) {
          reportSuspicion(now, record, false);
        } else {
          ownReports.remove(number);
        }
      }
    }
  }

  private void reportSuspicion(long now, MemberRecord record, boolean suspected) {
    lastReportSequence = lastReportSequence + 1 & 0xFFFF;
    SuspicionReport report =
        new SuspicionReport(
            record.number(),
            SuspicionReport.revisionHash(record),
            self,
            lastReportSequence,
            suspected);
    if (suspected) {
      ownReports.put(record.number(), report);
      reportedAt.put(record.number(), now);
    } else {
      ownReports.remove(record.number());
      reportedAt.remove(record.number());
    }
    if (failureQuorum.recordReport(now, report)) {
      gossip.enqueue(report, neighbours.length);
      sender.scheduleFlush(now);
      quorumCheckPending = true;
    }
  }

  private void checkQuorums(long now) {
    quorumCheckPending = false;
    refreshRings(now);
    for (int subject : failureQuorum.suspects()) {
      MemberRecord record = memberTable.find(subject);
      if (subject == self || record == null || !record.state().isActive()) {
        continue;
      }
      if (failureQuorum.isGone(
          subject, rings.observers(subject, this::isHealthy), memberTable.activeCount() == 2)) {
        MemberRecord gone =
            new MemberRecord(subject, record.incarnation(), record.revision(), MemberState.GONE);
        apply(now, gone, "suspected by " + joinNumbers(failureQuorum.reporters(subject)));
        // The observers of the removed member get other subjects.
        refreshRings(now);
      }
    }
  }

  private static String joinNumbers(int[] numbers) {
    return String.join(", ", Arrays.stream(numbers).mapToObj(Integer::toString).toList());
  }

  /** Applies a record if it is newer than the known one. */
  private void apply(long now, MemberRecord record, String reason) {
    if (record.number() == self) {
      refute(now, record);
      return;
    }
    MemberRecord previous = memberTable.find(record.number());
    if (!memberTable.merge(now, record)) {
      return;
    }
    int number = record.number();
    boolean newIncarnation = previous == null || previous.incarnation() != record.incarnation();
    if (newIncarnation || previous.revision() != record.revision() || !record.state().isActive()) {
      failureQuorum.clearSubject(number);
    }
    if (newIncarnation) {
      sender.infoByMember().remove(number);
      failureQuorum.removeReporter(number);
      if (previous != null) {
        links.getOrCreate(number).recordPeerRestart(now);
      }
    }
    if (!record.state().isActive()) {
      failureQuorum.removeReporter(number);
      ownReports.remove(number);
    }
    if (previous == null || previous.state().isActive() != record.state().isActive()) {
      ringsOutdated = true;
    }
    gossipRecord(now, record);
    notifyChange(previous, record, reason);
  }

  /** Responds to a record about this member. */
  private void refute(long now, MemberRecord claim) {
    MemberRecord previous = localMember.record();
    LocalMember.Refutation refutation = localMember.refute(now, claim);
    if (refutation.republishes()) {
      publishOwnRecord(now, refutation.reason());
    } else if (refutation == LocalMember.Refutation.SUPERSEDED) {
      notifyChange(previous, claim, refutation.reason());
    }
  }

  private boolean isSubject(int number) {
    return Arrays.binarySearch(subjects, number) >= 0;
  }

  /**
   * Handles a received datagram.
   *
   * @param from number of the member whose address it came from; negative if it is no member's
   */
  public void receive(long now, int from, byte[] bytes) {
    if (localMember.hasLeft()) {
      return;
    }
    Datagram datagram;
    try {
      datagram = Datagram.decode(bytes, tag);
      if (from < 0 || datagram.senderRecord().number() != from || from == self) {
        throw new Datagram.InvalidDatagramException(Datagram.RejectReason.MISPLACED);
      }
      MemberRecord known = memberTable.find(from);
      if (known != null && datagram.senderRecord().incarnation() < known.incarnation()) {
        // Either an older process that does not know of its successor, or one whose clock was set
        // back.
        sender.scheduleReply(from, -1);
        sender.sendRecord(now, from, known);
        throw new Datagram.InvalidDatagramException(Datagram.RejectReason.PAST);
      }
    } catch (Datagram.InvalidDatagramException e) {
      counts.rejected(e.reason());
      return;
    }
    counts.recordReceived();
    apply(now, datagram.senderRecord(), "reported by itself");
    Link link = links.getOrCreate(from);
    link.recordReceived(now, datagram.seq());
    if (datagram.echoAgeNanos() != Datagram.NEVER && link.hasSent(datagram.echo())) {
      link.recordEcho(now - datagram.echoAgeNanos());
    }
    for (Datagram.Item item : datagram.items()) {
      apply(now, from, item);
    }
    MemberRecord known = memberTable.find(from);
    if (known != null && !known.state().isActive()) {
      // The member is active after all: with this record it can refute its removal.
      sender.sendRecord(now, from, known);
    } else if (datagram.kind() == Datagram.Kind.KNOCK) {
      sender.sendWithGossip(now, from, Datagram.Kind.ANSWER, -1);
    } else if (datagram.kind() == Datagram.Kind.BEAT && !isSubject(from)) {
      sender.scheduleReply(from, -1);
    }
    if (datagram.digest() != memberTable.digest()) {
      antiEntropy.recordDigestMismatch(from);
    }
  }

  private void apply(long now, int from, Datagram.Item item) {
    if (item instanceof Datagram.RecordItem recordItem) {
      if (recordItem.record().number() < MemberTable.MAX_MEMBERS) {
        apply(now, recordItem.record(), "reported by " + from);
      }
    } else if (item instanceof Datagram.SuspicionItem suspicionItem) {
      apply(now, suspicionItem.report());
    } else if (item instanceof Datagram.MemberInfoItem infoItem) {
      MemberRecord subjectRecord = memberTable.find(infoItem.number());
      if (subjectRecord != null
          && subjectRecord.incarnation() == infoItem.incarnation()
          && infoItem.number() != self) {
        sender.infoByMember().put(infoItem.number(), infoItem.info());
      }
    } else if (item instanceof Datagram.MemberInfoRequest infoRequest) {
      if (sender.infoByMember().containsKey(infoRequest.number())) {
        sender.scheduleReply(from, infoRequest.number());
      }
    } else if (item instanceof Datagram.BucketDigests digests) {
      antiEntropy.sendDifferences(now, from, digests.digests());
    }
  }

  private void apply(long now, SuspicionReport report) {
    MemberRecord subjectRecord = memberTable.find(report.subject());
    MemberRecord reporterRecord = memberTable.find(report.reporter());
    boolean valid =
        subjectRecord != null
            && subjectRecord.state().isActive()
            && report.concerns(subjectRecord)
            && reporterRecord != null
            && reporterRecord.state().isActive()
            && report.reporter() != self
            && report.reporter() != report.subject();
    if (valid && failureQuorum.recordReport(now, report)) {
      gossip.enqueue(report, neighbours.length);
      sender.scheduleFlush(now);
      quorumCheckPending = true;
    }
  }

  private void removeExpiredRecords(long now) {
    List<Integer> expired = new ArrayList<>();
    memberTable.forEach(
        record -> {
          if (!record.state().isActive()
              && now - memberTable.stateSince(record.number()) > settings.rememberNanos()) {
            expired.add(record.number());
          }
        });
    for (int number : expired) {
      memberTable.remove(number);
      sender.infoByMember().remove(number);
      links.remove(number);
      failureQuorum.clearSubject(number);
    }
  }

  /** Leaves the tier deliberately: announces it at once, after which nothing more is done. */
  public void leave(long now) {
    if (localMember.superseded() || localMember.hasLeft()) {
      return;
    }
    localMember.leave();
    memberTable.merge(now, localMember.record());
    List<Integer> receivers = new ArrayList<>();
    for (int number : subjects) {
      receivers.add(number);
    }
    for (int i = 0; i < 2 * Rings.RING_COUNT; i++) {
      int receiver =
          sender.randomActiveMemberExcept(receivers.stream().mapToInt(Integer::intValue).toArray());
      if (receiver >= 0) {
        receivers.add(receiver);
      }
    }
    // Sent twice, since each datagram may be lost.
    for (int i = 0; i < 2; i++) {
      receivers.forEach(number -> sender.send(now, number, Datagram.Kind.BEAT, List.of()));
    }
  }

  /** Returns the counts of datagrams and changes. */
  public TierCounts counts() {
    return counts;
  }

  /**
   * Returns whether another process has taken the member's number, so that this one sends nothing.
   */
  public boolean superseded() {
    return localMember.superseded();
  }

  /** Returns this member's own record. */
  public MemberRecord self() {
    return localMember.record();
  }

  /** Estimates which part of the tier this process hears and is heard by. */
  public TierView.Connectivity connectivity(long now) {
    int heard = 0;
    int heardBy = 0;
    int bothWays = 0;
    for (int number : neighbours) {
      boolean isHeard = !links.isSilent(now, number);
      boolean isHeardByOther = links.isHeardBy(now, number);
      heard += isHeard ? 1 : 0;
      heardBy += isHeardByOther ? 1 : 0;
      bothWays += isHeard && isHeardByOther ? 1 : 0;
    }
    int memberCount = Math.max(1, memberTable.notLeftCount());
    int others = Math.max(0, memberTable.activeCount() - 1);
    return new TierView.Connectivity(
        estimatedShare(heard, others, memberCount),
        estimatedShare(heardBy, others, memberCount),
        estimatedShare(bothWays, others, memberCount),
        memberCount);
  }

  private double estimatedShare(int count, int others, int memberCount) {
    double share = neighbours.length == 0 ? 0 : (double) count / neighbours.length;
    return (1 + others * share) / memberCount;
  }

  /** Returns the tier as this process sees it. */
  public TierView view(long now) {
    List<TierView.MemberView> memberViews = new ArrayList<>();
    boolean maySuspect = localHealth.maySuspectOthers(now);
    memberTable.forEach(
        record -> {
          int number = record.number();
          Link link = links.find(number);
          int[] missedBy = failureQuorum.reporters(number);
          double doubt =
              (double) missedBy.length / FailureQuorum.quorumSize(Math.max(1, neighbours.length));
          double confidence = record.state().isActive() ? Math.max(0, 1 - doubt) : 1;
          memberViews.add(
              new TierView.MemberView(
                  record,
                  sender.infoByMember().get(number),
                  now - memberTable.stateSince(number),
                  link == null || link.lastReceivedAt() == Link.NEVER
                      ? -1
                      : now - link.lastReceivedAt(),
                  Arrays.stream(missedBy).boxed().toList(),
                  maySuspect || number == self ? confidence : confidence / 2));
        });
    return new TierView(
        version,
        memberTable.digest(),
        self,
        localMember.state(),
        connectivity(now),
        List.copyOf(memberViews));
  }

  /** Returns the record of a member; null if there is none. */
  public MemberRecord member(int number) {
    return memberTable.find(number);
  }

  /** Returns the number of active members, as far as known. */
  public int activeCount() {
    return memberTable.activeCount();
  }

  /** Returns the digest of all records, which is equal at members that have the same records. */
  public int digest() {
    return memberTable.digest();
  }
}
