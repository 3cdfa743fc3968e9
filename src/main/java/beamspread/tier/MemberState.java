package beamspread.tier;

/**
 * State of a member, as it reports itself or as others have decided. The ordinal is written to the
 * wire.
 */
public enum MemberState {
  /** The member reports that it works normally. */
  ALIVE,
  /** The member reports that it stalled a short time ago. */
  PAUSED,
  /** The member reports that it hears too few others to suspect them. */
  UNSURE,
  /** A quorum of observers has found that the member failed. */
  GONE,
  /** The member has left deliberately. */
  LEFT;

  private static final MemberState[] ALL = values();

  /** Returns the state with this ordinal; null if there is none. */
  static MemberState fromOrdinal(int ordinal) {
    return ordinal >= 0 && ordinal < ALL.length ? ALL[ordinal] : null;
  }

  /** Returns whether the member takes part in the tier. */
  public boolean isActive() {
    return this == ALIVE || this == PAUSED || this == UNSURE;
  }
}
