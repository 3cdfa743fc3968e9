package beamspread.policy;

/**
 * Measures requests and answers per second at this balancer. They are counted as they happen and
 * averaged once a second; times are seconds of the balancer's clock.
 */
final class Rates {
  private static final double INTERVAL_SECONDS = 1;

  /** Gain of the moving average for a rising, and for a falling, rate of warm servers. */
  private static final double WARM_RATE_RISE_GAIN = 0.3;

  private static final double WARM_RATE_FALL_GAIN = 0.02;

  private static final double REQUEST_RATE_GAIN = 0.05;

  /** Answers per second of a warm server of unit weight; 0 while unknown. */
  double warmRate;

  /** Answers per second of all servers; positive infinity during the first second. */
  double answerRate = Double.POSITIVE_INFINITY;

  /** Clients' requests per second. */
  double requestRate;

  private double warmAnswers;
  private double answers;
  private int requests;
  private double intervalStart = Double.NaN;

  /** Counts a client's request. */
  void countRequest() {
    requests++;
  }

  /** Counts an answer of a server; {@code byWarm} if the server was warm. */
  void countAnswer(boolean byWarm) {
    answers++;
    warmAnswers += byWarm ? 1 : 0;
  }

  /** Returns whether an interval has ended, so that {@link #updateAverages} is due. */
  boolean isDue(double now) {
    intervalStart = Double.isNaN(intervalStart) ? now : intervalStart;
    return now - intervalStart >= INTERVAL_SECONDS;
  }

  /**
   * Updates the averages with the counts of the last interval. The warm rate falls slowly, since
   * retries, little load and too much load all lower it below what a server can do. The request
   * rate changes slowly, so that a burst of clients' retries does not raise it.
   *
   * @param warmWeight the total weight of all warm servers that are in order
   * @param sending whether requests may be sent; if not, the absence of answers means nothing
   */
  void updateAverages(double now, double warmWeight, boolean sending) {
    double seconds = now - intervalStart;
    if (sending) {
      updateAnswerRates(seconds, warmWeight);
    }
    requestRate += (requestRate == 0 ? 1 : REQUEST_RATE_GAIN) * (requests / seconds - requestRate);
    warmAnswers = 0;
    answers = 0;
    requests = 0;
    intervalStart = now;
  }

  private void updateAnswerRates(double seconds, double warmWeight) {
    if (warmWeight > 0) {
      double rate = warmAnswers / seconds / warmWeight;
      warmRate +=
          (warmRate == 0 ? 1 : rate > warmRate ? WARM_RATE_RISE_GAIN : WARM_RATE_FALL_GAIN)
              * (rate - warmRate);
    }
    double rate = answers / seconds;
    answerRate = Double.isInfinite(answerRate) ? rate : 0.5 * (answerRate + rate);
  }
}
