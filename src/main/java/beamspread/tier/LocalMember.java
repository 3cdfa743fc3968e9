package beamspread.tier;

/**
 * This process's own record (incarnation, revision and state), and how it refutes what others
 * report about its number.
 */
final class LocalMember {
  /**
   * Startup phase, in which a process learns of earlier processes of its number; also the window in
   * which raised incarnations are counted.
   */
  static final long STARTUP_NANOS = 10_000_000_000L;

  /**
   * Maximum number of times within the window that a process raises its incarnation above another
   * one of its number.
   */
  private static final int MAX_RAISES = 4;

  /** Minimum time between changes of this member's state, except where it refutes others. */
  private static final long MIN_STATE_CHANGE_NANOS = 1_000_000_000;

  /** How the member responds to a record about itself. */
  enum Refutation {
    /** No response: the record is old, or already known. */
    NONE(null),
    /** Publishes its record with a new incarnation. */
    NOT_LEFT("it was reported to have left"),
    /** Publishes its record with a new revision. */
    NOT_GONE("it was reported to be gone"),
    /** Raises its incarnation above the other one of its number. */
    RAISED("its number had a later incarnation"),
    /** Stops sending: another process has taken its number. */
    SUPERSEDED("another process has taken its number: this one stops sending");

    private final String reason;

    Refutation(String reason) {
      this.reason = reason;
    }

    /** Returns the reason as text for the log; null for none. */
    String reason() {
      return reason;
    }

    /** Returns whether the member publishes its record again. */
    boolean republishes() {
      return this == NOT_LEFT || this == NOT_GONE || this == RAISED;
    }
  }

  private final int number;
  private long incarnation;
  private int revision;
  private MemberState state = MemberState.ALIVE;
  private long stateChangedAt;
  private boolean superseded;
  private long raiseWindowStartedAt;
  private int raises;

  LocalMember(int number, long incarnation, long now) {
    this.number = number;
    this.incarnation = incarnation;
    this.stateChangedAt = now;
    this.raiseWindowStartedAt = now;
  }

  /** Returns the record that is sent to the other members. */
  MemberRecord record() {
    return new MemberRecord(number, incarnation, revision, state);
  }

  /** Returns the member's number in the tier. */
  int number() {
    return number;
  }

  MemberState state() {
    return state;
  }

  /** Returns whether another process has taken the member's number. */
  boolean superseded() {
    return superseded;
  }

  /** Returns whether the member has left deliberately. */
  boolean hasLeft() {
    return state == MemberState.LEFT;
  }

  /**
   * Changes the state, unless it changed less than the minimum time ago; returns whether it
   * changed.
   */
  boolean changeState(long now, MemberState next) {
    if (next == state || now - stateChangedAt < MIN_STATE_CHANGE_NANOS) {
      return false;
    }
    state = next;
    stateChangedAt = now;
    return true;
  }

  /** Starts a new revision, which makes earlier reports about this member obsolete. */
  void startNextRevision() {
    if (revision == MemberRecord.MAX_REVISION) {
      startNextIncarnation();
    } else {
      revision++;
    }
  }

  /** Records that the member leaves deliberately. */
  void leave() {
    state = MemberState.LEFT;
    revision = Math.min(MemberRecord.MAX_REVISION, revision + 1);
  }

  /** Handles a record about this member that was received from another one. */
  Refutation refute(long now, MemberRecord claim) {
    if (claim.incarnation() < incarnation) {
      return Refutation.NONE;
    }
    return claim.incarnation() == incarnation
        ? refuteSameIncarnation(now, claim)
        : refuteOtherIncarnation(now, claim);
  }

  private Refutation refuteSameIncarnation(long now, MemberRecord claim) {
    if (claim.state() == MemberState.LEFT && state != MemberState.LEFT) {
      // LEFT is final for an incarnation, so the member starts a new one.
      startNextIncarnation();
      stateChangedAt = now;
      return Refutation.NOT_LEFT;
    }
    if (claim.isNewerThan(record())) {
      revision = Math.max(revision, claim.revision());
      return Refutation.NOT_GONE;
    }
    return Refutation.NONE;
  }

  private Refutation refuteOtherIncarnation(long now, MemberRecord claim) {
    if (mayRaise(now, claim)) {
      // Either this process's clock was set back, or another process had the number until now, such
      // as a replacement that failed. The process that receives the datagrams sent to the number is
      // the member.
      superseded = false;
      incarnation = claim.incarnation() + 1;
      revision = 0;
      return Refutation.RAISED;
    }
    if (superseded) {
      return Refutation.NONE;
    }
    superseded = true;
    return Refutation.SUPERSEDED;
  }

  private void startNextIncarnation() {
    revision = 0;
    incarnation = Math.min(MemberRecord.MAX_INCARNATION, incarnation + 1);
  }

  /**
   * Returns whether this process takes its number back from another. Two processes that both
   * receive the member's datagrams would otherwise raise their incarnations above one another
   * forever: after the maximum number of raises this one gives way for as long as the other is
   * active.
   */
  private boolean mayRaise(long now, MemberRecord other) {
    if (now - raiseWindowStartedAt > STARTUP_NANOS) {
      raiseWindowStartedAt = now;
      raises = 0;
    }
    raises++;
    return other.incarnation() < MemberRecord.MAX_INCARNATION
        && (raises <= MAX_RAISES || !other.state().isActive());
  }
}
