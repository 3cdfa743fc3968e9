package beamspread.policy;

/**
 * Limits retries to a part of the answers. If everything fails, unlimited retries multiply the load
 * that causes the failures; a tenth still covers single failures.
 */
final class RetryBudget {
  private static final double RETRIES_PER_ANSWER = 0.1;

  private static final double MAX_SAVED_RETRIES = 10;

  private double savedRetries = MAX_SAVED_RETRIES;

  /** Records an answer. */
  void earn() {
    savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + RETRIES_PER_ANSWER);
  }

  /** Returns whether a retry is saved up. */
  boolean available() {
    return savedRetries >= 1;
  }

  /** Records a retry. */
  void spend() {
    savedRetries--;
  }
}
