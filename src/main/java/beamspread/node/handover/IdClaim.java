package beamspread.node.handover;

/** The answer to a claim of an id. */
public final class IdClaim {
  /** What became of a claim. */
  public enum Outcome {
    /** The id is this process's until the claim is released or its time is over. */
    CLAIMED,
    /** Another request has the id, here or in another process. */
    IN_USE,
    /** There is no room for it. */
    NO_ROOM
  }

  /** A claim that nobody else has to know of. */
  static final IdClaim UNSHARED = new IdClaim(Outcome.CLAIMED, () -> {});

  static final IdClaim IN_USE = new IdClaim(Outcome.IN_USE, () -> {});
  static final IdClaim NO_ROOM = new IdClaim(Outcome.NO_ROOM, () -> {});

  private final Outcome outcome;
  private final Runnable release;
  private boolean released;

  private IdClaim(Outcome outcome, Runnable release) {
    this.outcome = outcome;
    this.release = release;
  }

  static IdClaim claimed(Runnable release) {
    return new IdClaim(Outcome.CLAIMED, release);
  }

  public Outcome outcome() {
    return outcome;
  }

  /** Gives the id free, since its request has ended and can't take effect any more; once. */
  public void release() {
    if (!released) {
      released = true;
      release.run();
    }
  }
}
