package beamspread.policy;

/**
 * Decides how long a request waits for a reply that has begun and paused, where only one attempt
 * may be in flight. A sound server goes on after its pause; the rest of a spoilt reply never comes.
 * So the first pauses of a server get most of the request's time, and the next ones none if those
 * before never ended.
 */
final class StallPatience {
  /** Part of the time that was left when the pause began; the rest is for another server. */
  private static final double PART_OF_REMAINING_TIME = 2.0 / 3;

  /** Pauses in a row that were given up on, after which a server's pauses get no more time. */
  private static final int MAX_UNENDED_PAUSES = 2;

  /** How long a server's unended pauses are held against it. */
  private static final double MEMORY_SECONDS = 10;

  private int unendedPauses;
  private double lastGivenUpAt = Double.NEGATIVE_INFINITY;

  /** Records a reply that was whole after a pause. */
  void recordEnd() {
    unendedPauses = 0;
  }

  /** Records a pause that a request did not wait out. */
  void recordGivenUp(double now) {
    if (now - lastGivenUpAt > MEMORY_SECONDS) {
      unendedPauses = 0;
    }
    unendedPauses++;
    lastGivenUpAt = now;
  }

  /**
   * Returns whether a request has waited long enough.
   *
   * @param pausedSeconds for how long nothing of the reply has come
   * @param remainingSeconds time that the request has left
   */
  boolean isExhausted(double now, double pausedSeconds, double remainingSeconds) {
    boolean distrusted =
        unendedPauses >= MAX_UNENDED_PAUSES && now - lastGivenUpAt <= MEMORY_SECONDS;
    return distrusted
        || pausedSeconds >= PART_OF_REMAINING_TIME * (pausedSeconds + remainingSeconds);
  }
}
