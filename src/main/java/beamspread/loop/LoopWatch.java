package beamspread.loop;

import java.util.function.LongConsumer;

/**
 * What is known of the turns of an event loop: the longest, and the time in which it did not run
 * though it had to. A turn is the time from the loop's wake-up to its next wait, and whatever it
 * woke up too late by. Free of I/O; times are nanoseconds of one clock that never runs backwards.
 *
 * <p>Guards against holding a pause against those who waited through it: {@link #lostNanos(long)}
 * is time in which nobody could have been heard. It could do harm if it were taken off limits that
 * protect the node itself, which must hold whatever the machine does; it is taken off idle times
 * alone.
 */
public final class LoopWatch {
  /** From so long on a turn is a pause: ten times what the busiest usual turn takes. */
  public static final long PAUSE_NANOS = 50_000_000L;

  private final LongConsumer paused;
  private long longest;
  private long lost;
  private int pauses;
  private long turns;

  /** When the last turn should have begun: at its wake-up, or when it should have woken up. */
  private long beganAt;

  private long wokeAt;
  private long waitsSince;
  private long dueAt;
  private boolean waiting;

  /** A watch that tells of each pause, in nanoseconds. */
  public LoopWatch(LongConsumer paused) {
    this.paused = paused;
  }

  /**
   * The loop has worked and begins to wait.
   *
   * @param most how long it means to wait at most; {@link Long#MAX_VALUE} for without end
   */
  void waits(long now, long most) {
    if (beganAt != 0) {
      turn(now - beganAt);
    }
    turns++;
    waiting = true;
    waitsSince = now;
    dueAt = most > Long.MAX_VALUE - Math.max(0, now) ? Long.MAX_VALUE : now + Math.max(0, most);
  }

  /**
   * The loop has waited and carried out what it found at its sockets.
   *
   * @param busy how long that took, without the wait
   */
  void ran(long now, long busy) {
    // What it woke up too late by belongs to the turn: it should have run then.
    wokeAt = now - busy;
    beganAt = waiting && dueAt != Long.MAX_VALUE && wokeAt - dueAt > 0 ? dueAt : wokeAt;
    waiting = false;
  }

  private void turn(long nanos) {
    longest = Math.max(longest, nanos);
    if (nanos >= PAUSE_NANOS) {
      pauses++;
      lost += nanos;
      paused.accept(nanos);
    }
  }

  /** The longest turn so far. */
  public long longestNanos() {
    return longest;
  }

  /** How many turns were pauses. */
  public int pauses() {
    return pauses;
  }

  /**
   * How long bytes that are read now can have lain in their socket at most, as far as the loop is
   * to blame: the time since an earlier look at the sockets, where the loop has stood still since.
   * 0 while the loop keeps up, and what comes is read as it comes.
   */
  public long unreadNanos(long now) {
    if (wokeAt == 0) {
      return 0;
    }
    if (!waiting) {
      long turn = now - beganAt;
      return turn >= PAUSE_NANOS ? turn : 0;
    }
    boolean longTurn = waitsSince - wokeAt >= PAUSE_NANOS;
    return isLate(now) || longTurn ? now - wokeAt : 0;
  }

  /** Whether the loop waits, and should have woken up well before. */
  boolean isLate(long now) {
    return waiting && now - dueAt >= PAUSE_NANOS;
  }

  /** The number of the turn under way; one begins with each wait. */
  public long turn() {
    return turns;
  }

  /** How long all pauses were together, the turn under way included once it is one. */
  public long lostNanos(long now) {
    long turn = waiting || beganAt == 0 ? 0 : now - beganAt;
    return turn >= PAUSE_NANOS ? lost + turn : lost;
  }
}
