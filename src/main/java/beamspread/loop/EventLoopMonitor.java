package beamspread.loop;

import java.util.function.LongConsumer;

/**
 * Measures the turns of an event loop: the longest one, and the total time of pauses, in which the
 * loop had work but did not run. A turn lasts from the loop's wake-up to its next wait, plus the
 * time by which it woke up too late. Free of I/O; times are nanoseconds of one monotonic clock.
 *
 * <p>{@link #pausedNanos(long)} is time in which no peer could be read; it is subtracted from
 * peers' idle times, so that a pause of this process is not counted against them. It must not be
 * subtracted from limits that protect the node itself, which hold however slow the machine is.
 */
public final class EventLoopMonitor {
  /** A turn of this length counts as a pause: ten times the longest usual turn under load. */
  public static final long PAUSE_NANOS = 50_000_000L;

  private final LongConsumer pauseListener;
  private long longestTurnNanos;
  private long pausedNanos;
  private int pauseCount;
  private long turnCount;

  /** When the last turn began or should have begun: its wake-up, or the time when that was due. */
  private long turnBeganAt;

  private long wokeUpAt;
  private long waitingSince;
  private long wakeUpDueAt;
  private boolean waiting;

  /** Creates a monitor that reports the length of each pause, in nanoseconds. */
  public EventLoopMonitor(LongConsumer pauseListener) {
    this.pauseListener = pauseListener;
  }

  /**
   * Records that the loop has finished its work and begins to wait.
   *
   * @param maxWaitNanos longest intended wait; {@link Long#MAX_VALUE} for no limit
   */
  void waitBegins(long now, long maxWaitNanos) {
    if (turnBeganAt != 0) {
      turn(now - turnBeganAt);
    }
    turnCount++;
    waiting = true;
    waitingSince = now;
    wakeUpDueAt =
        maxWaitNanos > Long.MAX_VALUE - Math.max(0, now)
            ? Long.MAX_VALUE
            : now + Math.max(0, maxWaitNanos);
  }

  /**
   * Records that the loop has waited and handled its ready sockets.
   *
   * @param busyNanos time spent on the sockets, without the wait
   */
  void socketsHandled(long now, long busyNanos) {
    // The delay of a late wake-up belongs to the turn: it should have run then.
    wokeUpAt = now - busyNanos;
    turnBeganAt =
        waiting && wakeUpDueAt != Long.MAX_VALUE && wokeUpAt - wakeUpDueAt > 0
            ? wakeUpDueAt
            : wokeUpAt;
    waiting = false;
  }

  /** Records a finished turn. */
  private void turn(long nanos) {
    longestTurnNanos = Math.max(longestTurnNanos, nanos);
    if (nanos >= PAUSE_NANOS) {
      pauseCount++;
      pausedNanos += nanos;
      pauseListener.accept(nanos);
    }
  }

  /** Returns the longest turn so far. */
  public long longestTurnNanos() {
    return longestTurnNanos;
  }

  /** Returns how many turns were pauses. */
  public int pauseCount() {
    return pauseCount;
  }

  /**
   * Returns how long bytes that are read now can have been in their socket at most because of the
   * loop: the time since the last poll of the sockets if the loop has stalled since then. 0 while
   * the loop keeps up and reads data as it arrives.
   */
  public long maxUnreadNanos(long now) {
    if (wokeUpAt == 0) {
      return 0;
    }
    if (!waiting) {
      long turnNanos = now - turnBeganAt;
      return turnNanos >= PAUSE_NANOS ? turnNanos : 0;
    }
    boolean longTurn = waitingSince - wokeUpAt >= PAUSE_NANOS;
    return isWakeUpLate(now) || longTurn ? now - wokeUpAt : 0;
  }

  /** Returns whether the loop is waiting and its wake-up is overdue by at least a pause. */
  boolean isWakeUpLate(long now) {
    return waiting && now - wakeUpDueAt >= PAUSE_NANOS;
  }

  /** Returns the number of the current turn; a new one begins with each wait. */
  public long turn() {
    return turnCount;
  }

  /** Returns the total length of all pauses, including the current turn once it is one. */
  public long pausedNanos(long now) {
    long turnNanos = waiting || turnBeganAt == 0 ? 0 : now - turnBeganAt;
    return turnNanos >= PAUSE_NANOS ? pausedNanos + turnNanos : pausedNanos;
  }
}
