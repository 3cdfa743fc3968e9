package beamspread.node.server;

/**
 * Notices a reply that has begun and does not continue. The limit applies between two pieces, since
 * slow servers write small ones. All times are of {@link System#nanoTime}.
 */
final class ReplyStall {
  /** When data of the current incomplete reply last arrived, 0 if there is none. */
  private long incompleteSince;

  /** How many reads had delivered data at the last check. */
  private long readsAtLastCheck;

  /**
   * Records the end of a batch of reads.
   *
   * @param incomplete whether it ended within a reply
   * @param readCount how many reads have delivered data
   */
  void readCompleted(boolean incomplete, long readCount, long now) {
    if (!incomplete) {
      incompleteSince = 0;
    } else if (incompleteSince == 0 || readCount != readsAtLastCheck) {
      incompleteSince = now;
    }
    readsAtLastCheck = readCount;
  }

  /** Returns whether an incomplete reply has not continued for this time. */
  boolean exceeds(long now, long maxNanos) {
    return incompleteSince != 0 && now - incompleteSince > maxNanos;
  }
}
