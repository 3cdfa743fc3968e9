package beamspread.tier;

/**
 * State of the link to one other member, in both directions. Times are in nanoseconds, or {@link
 * #NEVER} if the event has not happened.
 */
final class Link {
  static final long NEVER = Long.MIN_VALUE;

  /** Weight of one datagram in the loss estimate, an EWMA. */
  private static final double LOSS_WEIGHT = 1.0 / 32;

  /** Loss assumed for a new link. */
  private static final double INITIAL_LOSS = 0.05;

  /** Probability with which an observer may suspect a live member because of lost datagrams. */
  private static final double FALSE_SUSPICION_PROBABILITY = 1e-5;

  /** Upper bound of the loss used for the allowed silence. */
  private static final double MAX_LOSS = 0.5;

  private static final int RESTART_SEQ_GAP = 1000;

  private long lastReceivedAt = NEVER;
  private long lastEchoedAt = NEVER;
  private long observedSince = NEVER;
  private long lastSentAt;
  private int highestReceivedSeq = -1;
  private int lastSentSeq;
  private boolean sentSeqWrapped;
  private double loss = INITIAL_LOSS;

  /** Returns the sequence number for the next datagram to the member. */
  int nextSeq() {
    lastSentSeq = lastSentSeq + 1 & 0xFFFF;
    sentSeqWrapped |= lastSentSeq == 0;
    return lastSentSeq;
  }

  /** Returns the highest sequence number received from the member; 0 for none. */
  int highestReceivedSeq() {
    return Math.max(0, highestReceivedSeq);
  }

  /** Records that a datagram was sent to the member. */
  void recordSent(long now) {
    lastSentAt = now;
  }

  /** Returns when a datagram was last sent to the member. */
  long lastSentAt() {
    return lastSentAt;
  }

  /**
   * Returns whether this process has sent a datagram with this sequence number; otherwise an
   * earlier process of this member has sent it.
   */
  boolean hasSent(int seq) {
    return sentSeqWrapped || seq != 0 && seq <= lastSentSeq;
  }

  /** Records a datagram received from the member and updates the loss estimate. */
  void recordReceived(long now, int seq) {
    lastReceivedAt = now;
    int gap = highestReceivedSeq < 0 ? 1 : (short) (seq - highestReceivedSeq);
    if (gap <= 0 && gap > -RESTART_SEQ_GAP) {
      // Reordered or duplicated: already counted as lost or as received.
      return;
    }
    if (gap > 0 && gap < RESTART_SEQ_GAP) {
      for (int i = 1; i < gap && i < 32; i++) {
        loss += LOSS_WEIGHT * (1 - loss);
      }
      loss -= LOSS_WEIGHT * loss;
    }
    highestReceivedSeq = seq;
  }

  /** Records that the member reports having received a datagram of this process at this time. */
  void recordEcho(long at) {
    lastEchoedAt = Math.max(lastEchoedAt, at);
  }

  /** Starts measuring the member's silence, unless that is already done. */
  void startObserving(long now) {
    if (observedSince == NEVER) {
      observedSince = now;
    }
  }

  /** Stops measuring the member's silence. */
  void stopObserving() {
    observedSince = NEVER;
  }

  /**
   * Restarts the measurement of silence after a stall: datagrams that arrived during it may have
   * been lost.
   */
  void recordStall(long now) {
    if (observedSince != NEVER) {
      observedSince = now;
    }
  }

  /** Resets the receiving state: the member has a new process. */
  void recordPeerRestart(long now) {
    highestReceivedSeq = -1;
    lastEchoedAt = NEVER;
    if (observedSince != NEVER) {
      observedSince = now;
    }
  }

  /** Returns for how long the member has been silent while observed; 0 if it is not observed. */
  long silenceNanos(long now) {
    return observedSince == NEVER ? 0 : now - Math.max(lastReceivedAt, observedSince);
  }

  long lastReceivedAt() {
    return lastReceivedAt;
  }

  long lastEchoedAt() {
    return lastEchoedAt;
  }

  /**
   * Returns how long the member may be silent before it is suspected: the configured time, and
   * longer on a lossy link, so that the probability of suspecting a live member stays the same
   * (after the phi accrual failure detector, Hayashibara 2004, whose suspicion level adapts to the
   * link).
   */
  long allowedSilenceNanos(TierSettings settings) {
    double boundedLoss = Math.min(MAX_LOSS, Math.max(0.01, loss));
    double heartbeats = Math.log(FALSE_SUSPICION_PROBABILITY) / Math.log(boundedLoss);
    return Math.max(settings.silenceNanos(), (long) ((heartbeats + 1) * settings.intervalNanos()));
  }
}
