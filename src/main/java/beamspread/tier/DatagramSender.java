package beamspread.tier;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Sends a member's datagrams: heartbeats to the members that it observes, replies, probes to
 * members that may come back, and gossip within the byte budget.
 */
final class DatagramSender {
  /** Time for which new gossip is collected before it is sent. */
  private static final long GOSSIP_BATCH_NANOS = 15_000_000;

  /** Minimum time between two sendings of gossip ahead of the next period. */
  private static final long MIN_FLUSH_INTERVAL_NANOS = 60_000_000;

  private static final int MAX_PENDING_REPLIES = 64;
  private static final int PROBES_WHEN_ALONE = 3;

  /** Number of random members that are checked for missing descriptive data. */
  private static final int INFO_LOOKUP_TRIES = 8;

  private final TierSettings settings;
  private final TierActions actions;
  private final SplittableRandom random;
  private final LocalMember localMember;
  private final MemberTable memberTable;
  private final LinkTable links;
  private final GossipQueue gossip;
  private final TierCounts counts;
  private final int tag;
  private final Map<Integer, MemberInfo> infoByMember = new HashMap<>();

  /**
   * Members that get a reply in the next period, each with the number of the member whose
   * descriptive data goes with it, -1 for none.
   */
  private final Map<Integer, Integer> pendingReplies = new LinkedHashMap<>();

  /**
   * Token bucket for gossip, in bytes. It gets half of the configured rate; the other half is left
   * for minimum-size heartbeats, whose number does not depend on the amount of gossip.
   */
  private double gossipBudgetBytes;

  private long budgetUpdatedAt;
  private long flushDueAt = Long.MAX_VALUE;
  private long lastFlushAt;

  DatagramSender(
      TierSettings settings,
      TierActions actions,
      SplittableRandom random,
      LocalMember localMember,
      MemberTable memberTable,
      LinkTable links,
      GossipQueue gossip,
      TierCounts counts,
      long now) {
    this.settings = settings;
    this.actions = actions;
    this.random = random;
    this.localMember = localMember;
    this.memberTable = memberTable;
    this.links = links;
    this.gossip = gossip;
    this.counts = counts;
    this.tag = settings.tag();
    this.gossipBudgetBytes = settings.burstBytes();
    this.budgetUpdatedAt = now;
    this.lastFlushAt = now;
  }

  /** Returns the descriptive data by member number; the caller keeps it up to date. */
  Map<Integer, MemberInfo> infoByMember() {
    return infoByMember;
  }

  /**
   * Returns when gossip is to be sent ahead of the next period; {@link Long#MAX_VALUE} if there is
   * none.
   */
  long flushDueAt() {
    return flushDueAt;
  }

  /** Cancels the sending of gossip ahead of the next period. */
  void cancelFlush() {
    flushDueAt = Long.MAX_VALUE;
  }

  /** Adds the bytes earned since the last call to the gossip budget. */
  void refillBudget(long now) {
    double earnedBytes = (now - budgetUpdatedAt) / 1e9 * settings.bytesPerSecond() / 2;
    gossipBudgetBytes = Math.min(settings.burstBytes(), gossipBudgetBytes + earnedBytes);
    budgetUpdatedAt = now;
  }

  /** Schedules the sending of new gossip ahead of the next period. */
  void scheduleFlush(long now) {
    flushDueAt =
        Math.min(
            flushDueAt, Math.max(now + GOSSIP_BATCH_NANOS, lastFlushAt + flushIntervalNanos()));
  }

  /** Once half of the burst is used up, gossip waits for the next period's heartbeats. */
  private long flushIntervalNanos() {
    return gossipBudgetBytes > settings.burstBytes() / 2.0
        ? MIN_FLUSH_INTERVAL_NANOS
        : settings.intervalNanos();
  }

  /**
   * Schedules a reply to a member in the next period, with the descriptive data of a member or -1
   * for none.
   */
  void scheduleReply(int number, int infoNumber) {
    if (pendingReplies.size() < MAX_PENDING_REPLIES || pendingReplies.containsKey(number)) {
      pendingReplies.merge(number, infoNumber, Math::max);
    }
  }

  /**
   * Sends the heartbeats, replies and probes of a protocol period.
   *
   * @param periods number of periods so far
   * @param subjects the observed members, in ascending order
   * @param numberCount how many member numbers there are
   */
  void sendHeartbeats(long now, long periods, int[] subjects, int numberCount) {
    flushDueAt = Long.MAX_VALUE;
    lastFlushAt = now;
    for (int number : subjects) {
      if (links.isSilent(now, number) && (periods + number) % 4 != 0) {
        continue;
      }
      boolean replyPending = pendingReplies.containsKey(number);
      // A recent datagram with gossip serves as a heartbeat.
      boolean recentlySent =
          now - links.getOrCreate(number).lastSentAt() <= settings.intervalNanos() / 2;
      if (replyPending || !gossip.isEmpty() || !recentlySent) {
        sendWithGossip(
            now, number, Datagram.Kind.BEAT, replyPending ? pendingReplies.remove(number) : -1);
      }
    }
    pendingReplies.forEach(
        (number, infoNumber) -> sendWithGossip(now, number, Datagram.Kind.ANSWER, infoNumber));
    pendingReplies.clear();
    sendProbes(now, periods, subjects, numberCount);
  }

  private void sendProbes(long now, long periods, int[] subjects, int numberCount) {
    if (memberTable.activeCount() == 1) {
      for (int i = 0; i < PROBES_WHEN_ALONE; i++) {
        sendProbe(now, randomAbsentMember(numberCount));
      }
      return;
    }
    if (periods % 4 == 0) {
      sendProbe(now, randomAbsentMember(numberCount));
    }
    if (periods % 2 == 0) {
      sendProbe(now, randomActiveMemberExcept(subjects));
    }
  }

  private void sendProbe(long now, int number) {
    if (number >= 0) {
      sendWithGossip(now, number, Datagram.Kind.KNOCK, -1);
    }
  }

  /** Returns a random member that is gone, has left or is unknown; -1 if there is none. */
  private int randomAbsentMember(int numberCount) {
    int chosen = -1;
    int found = 0;
    for (int number = 0; number < numberCount; number++) {
      MemberRecord record = memberTable.find(number);
      boolean absent =
          number != localMember.number()
              && (record == null
                  || record.state() == MemberState.GONE
                  || record.state() == MemberState.LEFT);
      if (absent && random.nextInt(++found) == 0) {
        chosen = number;
      }
    }
    return chosen;
  }

  /** Returns a random active member; -1 if the one drawn is excluded or is this member. */
  int randomActiveMemberExcept(int[] excluded) {
    int self = localMember.number();
    int[] active = memberTable.activeNumbers();
    int number = active.length == 0 ? self : active[random.nextInt(active.length)];
    boolean isExcluded = number == self;
    for (int other : excluded) {
      isExcluded |= other == number;
    }
    return isExcluded ? -1 : number;
  }

  /** Sends gossip ahead of the next period, as far as the budget allows. */
  void flushGossip(long now, int[] subjects) {
    flushDueAt = Long.MAX_VALUE;
    lastFlushAt = now;
    for (int number : subjects) {
      if (gossip.isEmpty() || gossipBudgetBytes <= 0) {
        break;
      }
      if (links.isSilent(now, number)) {
        continue;
      }
      sendWithGossip(now, number, Datagram.Kind.BEAT, -1);
      gossipBudgetBytes -= Datagram.MIN_BYTES;
    }
    if (!gossip.isEmpty() && gossipBudgetBytes > 0) {
      flushDueAt = now + flushIntervalNanos();
    }
  }

  /** Sends a datagram with gossip, and with the descriptive data of a member or -1 for none. */
  void sendWithGossip(long now, int receiver, Datagram.Kind kind, int infoNumber) {
    List<Datagram.Item> items = new ArrayList<>();
    int remainingBytes = Datagram.MAX_BYTES - Datagram.HEADER_BYTES;
    if (infoNumber >= 0
        && infoByMember.containsKey(infoNumber)
        && memberTable.find(infoNumber) != null) {
      Datagram.MemberInfoItem infoItem =
          new Datagram.MemberInfoItem(
              infoNumber, memberTable.find(infoNumber).incarnation(), infoByMember.get(infoNumber));
      items.add(infoItem);
      remainingBytes -= infoItem.size();
    }
    if (links.isSilent(now, receiver)) {
      // A silent receiver gets no gossip: the item would count as sent although it is probably
      // lost.
      send(now, receiver, kind, items);
      return;
    }
    int wantedInfo = randomMemberWithoutInfo();
    if (wantedInfo >= 0 && kind == Datagram.Kind.BEAT) {
      items.add(new Datagram.MemberInfoRequest(wantedInfo));
      remainingBytes -= Datagram.MemberInfoRequest.SIZE;
    }
    // Gossip that fits into a minimum-size datagram needs no budget.
    items.addAll(
        gossip.nextItems(
            gossipBudgetBytes > 0
                ? remainingBytes
                : remainingBytes - (Datagram.MAX_BYTES - Datagram.MIN_BYTES)));
    send(now, receiver, kind, items);
  }

  /** Returns an active member whose descriptive data is unknown; -1 if none was found. */
  private int randomMemberWithoutInfo() {
    if (infoByMember.size() >= memberTable.activeCount()) {
      return -1;
    }
    for (int i = 0; i < INFO_LOOKUP_TRIES; i++) {
      int number = random.nextInt(memberTable.numberBound());
      MemberRecord record = memberTable.find(number);
      if (record != null && record.state().isActive() && !infoByMember.containsKey(number)) {
        return number;
      }
    }
    return -1;
  }

  /** Sends a member a record; the datagram is never larger than the one that it answers. */
  void sendRecord(long now, int receiver, MemberRecord record) {
    send(now, receiver, Datagram.Kind.ANSWER, List.of(new Datagram.RecordItem(record)));
  }

  /** Sends a datagram, unless another process has taken this member's number. */
  void send(long now, int receiver, Datagram.Kind kind, List<Datagram.Item> items) {
    if (localMember.superseded()) {
      // A superseded process keeps listening and becomes the member again if its successor fails.
      return;
    }
    Link link = links.getOrCreate(receiver);
    long age = link.lastReceivedAt() == Link.NEVER ? Datagram.NEVER : now - link.lastReceivedAt();
    Datagram datagram =
        new Datagram(
            kind,
            tag,
            localMember.record(),
            link.nextSeq(),
            link.highestReceivedSeq(),
            age,
            memberTable.digest(),
            items);
    byte[] bytes = datagram.encode();
    link.recordSent(now);
    gossipBudgetBytes -= bytes.length - Datagram.MIN_BYTES;
    counts.recordSent(bytes.length);
    actions.send(receiver, bytes);
  }
}
