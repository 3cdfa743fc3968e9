package beamspread.tier;

/**
 * A member's report that it no longer receives datagrams from another member, or that it receives
 * them again.
 *
 * @param subject number of the suspected member
 * @param revisionHash 16-bit hash of the subject's incarnation and revision, so that the report
 *     applies to no other revision of that member
 * @param reporter number of the reporting member
 * @param sequence 16-bit sequence number of the reporter's reports; it wraps around
 * @param suspected whether the subject is suspected; false withdraws an earlier report
 */
public record SuspicionReport(
    int subject, int revisionHash, int reporter, int sequence, boolean suspected) {

  /** Returns whether this report is about the member's incarnation and revision in the record. */
  boolean concerns(MemberRecord record) {
    return record.number() == subject && revisionHash == revisionHash(record);
  }

  /** Returns a 16-bit hash of the record's incarnation and revision. */
  static int revisionHash(MemberRecord record) {
    return (int) Hashing.hash(record.incarnation(), record.revision()) & 0xFFFF;
  }

  /**
   * Returns whether this report was made after the other, by the same reporter about the same
   * subject.
   */
  boolean isNewerThan(SuspicionReport other) {
    return other == null || (short) (sequence - other.sequence) > 0;
  }
}
