package beamspread.tier;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Anti-entropy: exchanges bucket digests with members whose record digest differs and sends the
 * records that differ. A member that has just started does so at once, any other only where gossip
 * has not removed the difference.
 */
final class AntiEntropy {
  /** Minimum time between two comparisons, except during startup. */
  private static final long MIN_COMPARISON_INTERVAL_NANOS = 1_000_000_000;

  private static final int NO_MEMBER = -1;

  private final TierSettings settings;
  private final SplittableRandom random;
  private final MemberTable memberTable;
  private final DatagramSender sender;
  private final long startedAt;
  private long mismatchSince;
  private long lastComparisonAt;
  private int mismatchedMember = NO_MEMBER;

  AntiEntropy(
      TierSettings settings,
      SplittableRandom random,
      MemberTable memberTable,
      DatagramSender sender,
      long now) {
    this.settings = settings;
    this.random = random;
    this.memberTable = memberTable;
    this.sender = sender;
    this.startedAt = now;
    this.mismatchSince = now;
    this.lastComparisonAt = now;
  }

  /** Remembers that the record digest of a member differs from this one's. */
  void recordDigestMismatch(int number) {
    mismatchedMember = number;
  }

  /** Sends the bucket digests to a member whose record digest differs, if a comparison is due. */
  void compareIfDue(long now) {
    int peer = mismatchedMember;
    mismatchedMember = NO_MEMBER;
    if (peer == NO_MEMBER) {
      mismatchSince = now;
    }
    boolean recentlyStarted = now - startedAt < LocalMember.STARTUP_NANOS;
    long minInterval =
        recentlyStarted ? settings.intervalNanos() / 2 : MIN_COMPARISON_INTERVAL_NANOS;
    boolean settled = recentlyStarted || now - mismatchSince >= 2 * settings.intervalNanos();
    if (peer != NO_MEMBER && settled && now - lastComparisonAt >= minInterval) {
      lastComparisonAt = now;
      sender.send(
          now,
          peer,
          Datagram.Kind.COMPARE,
          List.of(new Datagram.BucketDigests(memberTable.bucketDigests())));
    }
  }

  /**
   * Sends the records of the buckets whose digests differ, as many as fit into one datagram. Starts
   * at a random record, so that repeated comparisons cover all of them.
   */
  void sendDifferences(long now, int receiver, int[] peerDigests) {
    int[] ownDigests = memberTable.bucketDigests();
    int end = memberTable.numberBound();
    int first = random.nextInt(end);
    List<Datagram.Item> items = new ArrayList<>();
    int remainingBytes = Datagram.MAX_BYTES - Datagram.HEADER_BYTES;
    for (int i = 0; i < end && remainingBytes >= Datagram.RecordItem.SIZE; i++) {
      MemberRecord record = memberTable.find((first + i) % end);
      if (record != null
          && peerDigests[MemberTable.bucket(record.number())]
              != ownDigests[MemberTable.bucket(record.number())]) {
        items.add(new Datagram.RecordItem(record));
        remainingBytes -= Datagram.RecordItem.SIZE;
      }
    }
    sender.send(now, receiver, Datagram.Kind.ANSWER, items);
  }
}
