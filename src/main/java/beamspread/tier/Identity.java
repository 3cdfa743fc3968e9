package beamspread.tier;

/**
 * What a member says of itself: its incarnation, its life and its state. Decides what becomes of it
 * when others say something else of the same number.
 */
final class Identity {
  /** A process is young for so long: what it finds of its number's past was before it. */
  static final long YOUNG_NANOS = 10_000_000_000L;

  /** How often in that time a process may go above another incarnation of its number. */
  private static final int MOST_RAISES = 4;

  /** What is said of oneself changes no more often than this, unless others are mistaken. */
  private static final long SAY_NANOS = 1_000_000_000;

  /** What follows from something that was said of this member. */
  enum Answer {
    /** Nothing: it is old, or known. */
    NONE(null),
    /** It speaks anew of itself, as a new incarnation. */
    NOT_LEFT("it was said to have left"),
    /** It speaks anew of itself. */
    NOT_GONE("it was said to be gone"),
    /** It goes above the other incarnation of its number. */
    RAISED("its number had a later incarnation"),
    /** It gives way to the other process of its number. */
    SUPERSEDED("another process has taken its number: this one is silent now");

    private final String why;

    Answer(String why) {
      this.why = why;
    }

    /** The reason in words; null for none. */
    String why() {
      return why;
    }

    /** Whether the member speaks anew of itself. */
    boolean speaks() {
      return this == NOT_LEFT || this == NOT_GONE || this == RAISED;
    }
  }

  private final int number;
  private long incarnation;
  private int life;
  private MemberState state = MemberState.ALIVE;
  private long stateAt;
  private boolean superseded;
  private long raisedFrom;
  private int raises;

  Identity(int number, long incarnation, long now) {
    this.number = number;
    this.incarnation = incarnation;
    this.stateAt = now;
    this.raisedFrom = now;
  }

  /** What others are told. */
  MemberRecord record() {
    return new MemberRecord(number, incarnation, life, state);
  }

  /** Its number in the tier. */
  int number() {
    return number;
  }

  MemberState state() {
    return state;
  }

  /** Whether another process has taken its number. */
  boolean superseded() {
    return superseded;
  }

  /** Whether it has left on purpose. */
  boolean hasLeft() {
    return state == MemberState.LEFT;
  }

  /** Takes another state, unless the last was taken just now; whether it did. */
  boolean become(long now, MemberState next) {
    if (next == state || now - stateAt < SAY_NANOS) {
      return false;
    }
    state = next;
    stateAt = now;
    return true;
  }

  /** Begins another life: all that was said of the one before is settled. */
  void beginLife() {
    if (life == MemberRecord.LAST_LIFE) {
      nextIncarnation();
    } else {
      life++;
    }
  }

  /** It ends on purpose. */
  void leave() {
    state = MemberState.LEFT;
    life = Math.min(MemberRecord.LAST_LIFE, life + 1);
  }

  /** Something is said of this very member. */
  Answer defend(long now, MemberRecord said) {
    if (said.incarnation() < incarnation) {
      return Answer.NONE;
    }
    return said.incarnation() == incarnation ? defendLife(now, said) : defendNumber(now, said);
  }

  private Answer defendLife(long now, MemberRecord said) {
    if (said.state() == MemberState.LEFT && state != MemberState.LEFT) {
      // Nobody comes back from having left, so it is a new one that stays.
      nextIncarnation();
      stateAt = now;
      return Answer.NOT_LEFT;
    }
    if (said.newerThan(record())) {
      life = Math.max(life, said.life());
      return Answer.NOT_GONE;
    }
    return Answer.NONE;
  }

  private Answer defendNumber(long now, MemberRecord said) {
    if (mayRaise(now, said)) {
      // Its clock was set back, or its number was another's until now: that of one which was to
      // replace this process and failed. Whoever hears what is sent to the number is the member.
      superseded = false;
      incarnation = said.incarnation() + 1;
      life = 0;
      return Answer.RAISED;
    }
    if (superseded) {
      return Answer.NONE;
    }
    superseded = true;
    return Answer.SUPERSEDED;
  }

  private void nextIncarnation() {
    life = 0;
    incarnation = Math.min(MemberRecord.LAST_INCARNATION, incarnation + 1);
  }

  /**
   * Whether this process takes its number back from another. Guards against two that both hear what
   * is sent to it, which would go above one another for ever: the one that has done so often enough
   * gives way for as long as the other is here.
   */
  private boolean mayRaise(long now, MemberRecord other) {
    if (now - raisedFrom > YOUNG_NANOS) {
      raisedFrom = now;
      raises = 0;
    }
    raises++;
    return other.incarnation() < MemberRecord.LAST_INCARNATION
        && (raises <= MOST_RAISES || !other.state().here());
  }
}
