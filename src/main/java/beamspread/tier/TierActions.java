package beamspread.tier;

/** Actions and events of a tier that its user carries out or handles. */
public interface TierActions {
  /** Sends a datagram of at most 256 bytes to the member with this number. */
  void send(int number, byte[] datagram);

  /**
   * Called when the record of a member has changed.
   *
   * @param before the previous record; null if there was none
   * @param reason reason and source of the change, as text for the log
   */
  void memberChanged(MemberRecord before, MemberRecord after, String reason);
}
