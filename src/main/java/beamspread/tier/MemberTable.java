package beamspread.tier;

import java.util.Arrays;
import java.util.function.Consumer;

/** The newest record of each member, with digests by which two tables are compared. */
final class MemberTable {
  /** Number of buckets, each of which is compared separately. */
  static final int BUCKETS = 16;

  /** Maximum number of members; member numbers are below it. */
  static final int MAX_MEMBERS = 4096;

  private MemberRecord[] records = new MemberRecord[16];
  private long[] stateSince = new long[16];
  private final long[] bucketHashes = new long[BUCKETS];
  private int activeCount;
  private int recordCount;
  private int leftCount;

  /** Returns the bucket of a member's record. */
  static int bucket(int number) {
    return number & BUCKETS - 1;
  }

  /** Returns the record of a member; null if there is none. */
  MemberRecord find(int number) {
    return number < records.length ? records[number] : null;
  }

  /** Returns when the member's present state was first recorded here, in nanoseconds. */
  long stateSince(int number) {
    return stateSince[number];
  }

  /** Stores a record if it is newer than the present one; returns whether it was stored. */
  boolean merge(long now, MemberRecord record) {
    int number = record.number();
    if (number >= MAX_MEMBERS || !record.isNewerThan(find(number))) {
      return false;
    }
    if (number >= records.length) {
      int length = Math.min(MAX_MEMBERS, Math.max(number + 1, records.length * 2));
      records = Arrays.copyOf(records, length);
      stateSince = Arrays.copyOf(stateSince, length);
    }
    MemberRecord previous = records[number];
    addToCounts(previous, -1);
    addToCounts(record, 1);
    records[number] = record;
    if (previous == null || previous.state() != record.state()) {
      stateSince[number] = now;
    }
    return true;
  }

  /** Removes the record of a member. */
  void remove(int number) {
    addToCounts(records[number], -1);
    records[number] = null;
  }

  private void addToCounts(MemberRecord record, int delta) {
    if (record != null) {
      bucketHashes[bucket(record.number())] ^= record.hash();
      recordCount += delta;
      activeCount += record.state().isActive() ? delta : 0;
      leftCount += record.state() == MemberState.LEFT ? delta : 0;
    }
  }

  /** Returns the number of active members. */
  int activeCount() {
    return activeCount;
  }

  /** Returns the number of members that are active or gone, without those that have left. */
  int notLeftCount() {
    return recordCount - leftCount;
  }

  /** Returns the digest of all records. */
  int digest() {
    long combined = 0;
    for (long bucketHash : bucketHashes) {
      combined = Hashing.hash(combined, bucketHash);
    }
    return (int) combined;
  }

  /** Returns the digest of each bucket. */
  int[] bucketDigests() {
    int[] digests = new int[BUCKETS];
    for (int i = 0; i < BUCKETS; i++) {
      digests[i] = (int) Hashing.hash(bucketHashes[i]);
    }
    return digests;
  }

  /** Returns an exclusive upper bound of the member numbers that have a record. */
  int numberBound() {
    return records.length;
  }

  /** Passes all records to the action, in the order of their numbers. */
  void forEach(Consumer<MemberRecord> action) {
    for (MemberRecord record : records) {
      if (record != null) {
        action.accept(record);
      }
    }
  }

  /** Returns the numbers of all active members, in ascending order. */
  int[] activeNumbers() {
    int[] numbers = new int[activeCount];
    int next = 0;
    for (MemberRecord record : records) {
      if (record != null && record.state().isActive()) {
        numbers[next++] = record.number();
      }
    }
    return numbers;
  }
}
