package beamspread.tier;

/**
 * What is known of a member. Of two records of a member all processes prefer the same one, so they
 * agree once they have received the same records, in any order.
 *
 * @param number of the member in the tier
 * @param incarnation of its process, 48 bits: higher for a later start
 * @param revision how often this incarnation has published its record again, 16 bits
 */
public record MemberRecord(int number, long incarnation, int revision, MemberState state) {
  /** The highest incarnation number. */
  static final long MAX_INCARNATION = (1L << 48) - 1;

  /** The highest revision number. */
  static final int MAX_REVISION = 0xFFFF;

  /**
   * Returns whether this record replaces the other. Within a revision GONE, which others decide,
   * overrides the member's own state until the member publishes a new revision. LEFT is final for
   * an incarnation.
   */
  public boolean isNewerThan(MemberRecord other) {
    if (other == null || incarnation != other.incarnation) {
      return other == null || incarnation > other.incarnation;
    }
    if (state == MemberState.LEFT || other.state == MemberState.LEFT) {
      return other.state != MemberState.LEFT;
    }
    if (revision != other.revision) {
      return revision > other.revision;
    }
    return state == MemberState.GONE && other.state != MemberState.GONE;
  }

  /** Returns the hash that represents this record in digests. */
  long hash() {
    return Hashing.hash(
        Hashing.hash((long) number << 48 | incarnation), (long) revision << 8 | state.ordinal());
  }
}
