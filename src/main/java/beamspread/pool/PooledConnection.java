package beamspread.pool;

/** One connection to a cache server, from the request to open it until its end is reported. */
final class PooledConnection {
  final long id;

  /** The server's address generation, incremented at each address change, when this was opened. */
  final int generation;

  final long requestedAt;

  /** Idle timeout and maximum age, each a little below the configured value. */
  final long idleTimeoutNanos;

  final long maxAgeNanos;

  boolean established;

  /** Whether nothing more is written here and it closes once no attempt is awaited. */
  boolean retiring;

  /** Whether closing was requested. */
  boolean closing;

  /** Whether received data is still being read; it may contain more than one answer. */
  boolean reading;

  /** Whether an answer is being streamed in parts; nothing is written behind it. */
  boolean streaming;

  /** Whether an answer has begun and makes no progress; nothing is written behind it. */
  boolean stalled;

  boolean everAnswered;

  long openedAt;
  long lastReadAt;
  long lastUsedAt;

  /** When the oldest attempt in flight was written, or the one before it answered. */
  long waitingSince;

  /**
   * Attempts in flight; those of them that are still awaited, and those that must not be repeated.
   */
  int inFlight;

  int awaitedInFlight;
  int unrepeatableInFlight;

  PooledConnection(long id, int generation, long now, long idleTimeoutNanos, long maxAgeNanos) {
    this.id = id;
    this.generation = generation;
    this.requestedAt = now;
    this.idleTimeoutNanos = idleTimeoutNanos;
    this.maxAgeNanos = maxAgeNanos;
  }

  /** Returns whether anything may still be written here, now or later. */
  boolean isUsable() {
    return established && !retiring && !closing;
  }

  /** Returns whether an attempt may be written here now, given what is in flight. */
  boolean isWritable(int depth) {
    return isUsable() && !reading && !streaming && !stalled && inFlight < depth;
  }

  /** Returns whether nothing is in flight here. */
  boolean isFree() {
    return isUsable() && !reading && inFlight == 0;
  }

  /** Returns whether it is free as soon as all received data has been read. */
  boolean isFreeAfterRead() {
    return isUsable() && reading && inFlight == 0;
  }

  /**
   * Returns whether it has reached its maximum age, its idle timeout or the current, possibly
   * shorter, idle time. The server may then close it at any moment.
   */
  boolean isExpired(long now, long idleTimeNanos) {
    return now - lastUsedAt >= Math.min(idleTimeNanos, idleTimeoutNanos)
        || (maxAgeNanos > 0 && now - openedAt >= maxAgeNanos);
  }

  /** Returns whether its oldest attempt has waited longer than this for an answer. */
  boolean hasWaitedLongerThan(long now, long nanos) {
    return inFlight > 0 && !streaming && now - waitingSince > nanos;
  }
}
