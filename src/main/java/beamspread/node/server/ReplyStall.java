package beamspread.node.server;

/**
 * Notices a reply that has begun and does not continue. The time counts from the last piece, since
 * slow servers write small ones. All times are of {@link System#nanoTime}.
 */
final class ReplyStall {
  /** When data of the current incomplete reply last arrived, 0 if there is none. */
  private long incompleteSince;

  /** How many reads had delivered data at the last check. */
  private long readsAtLastCheck;

  /** Whether the current pause was reported as a stall. */
  private boolean stalled;

  /**
   * Records the end of a batch of reads.
   *
   * @param incomplete whether it ended within a reply
   * @param readCount how many reads have delivered data
   * @return whether it ended a stall
   */
  boolean readCompleted(boolean incomplete, long readCount, long now) {
    boolean progress = readCount != readsAtLastCheck;
    readsAtLastCheck = readCount;
    if (!incomplete) {
      incompleteSince = 0;
    } else if (incompleteSince == 0 || progress) {
      incompleteSince = now;
    }
    boolean resumed = stalled && (progress || !incomplete);
    stalled = stalled && !resumed;
    return resumed;
  }

  /** Returns whether an incomplete reply has not continued for this time. */
  boolean exceeds(long now, long maxNanos) {
    return incompleteSince != 0 && now - incompleteSince > maxNanos;
  }

  /** Returns for how long the incomplete reply has not continued. */
  long pausedNanos(long now) {
    return now - incompleteSince;
  }

  /** Marks the current pause as a stall; returns false if it was marked before. */
  boolean markStalled() {
    boolean first = !stalled;
    stalled = true;
    return first;
  }
}
