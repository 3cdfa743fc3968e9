package beamspread.tier;

import java.util.List;

/**
 * A tier as one member sees it at one time.
 *
 * @param version increases with each change that the process sees
 * @param digest equal at all members that have the same records
 * @param self number of the member that has this view
 * @param selfState the state that this member reports of itself
 * @param connectivity the part of the tier that this member hears and is heard by
 */
public record TierView(
    long version,
    int digest,
    int self,
    MemberState selfState,
    Connectivity connectivity,
    List<MemberView> members) {

  /**
   * Shares of the tier that a member hears and is heard by, from 0 to 1 and itself included, of all
   * members that have not left. Members that are gone count as not heard, so that the minority side
   * of a network partition can recognise itself as such. The shares are estimated from the member's
   * neighbours.
   *
   * @param memberCount how many members are counted
   */
  public record Connectivity(double hears, double heardBy, double bothWays, int memberCount) {}

  /**
   * What is known of one member.
   *
   * @param info null if it is not known yet
   * @param sinceNanos for how long the member has had its state here
   * @param sinceHeardNanos time since this process last received a datagram from the member; -1 for
   *     never
   * @param missedBy the members that suspect it
   * @param confidence from 0 to 1: how certain it is that the state agrees with that seen by the
   *     member's observers
   */
  public record MemberView(
      MemberRecord record,
      MemberInfo info,
      long sinceNanos,
      long sinceHeardNanos,
      List<Integer> missedBy,
      double confidence) {

    /** Returns whether some members suspect this one, but too few to declare it gone. */
    public boolean isSuspect() {
      return record.state().isActive() && !missedBy.isEmpty();
    }
  }
}
