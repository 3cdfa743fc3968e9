package beamspread.policy;

/**
 * How many requests come to this balancer and how many are answered, a second. Counted as they
 * happen and averaged once a second; times are seconds of the balancer's clock.
 */
final class Rates {
  private static final double INTERVAL = 1;

  /** How much of a higher, and of a lower, rate of warm servers is believed at once. */
  private static final double WARM_RISES = 0.3;

  private static final double WARM_FALLS = 0.02;

  private static final double REQUESTS_FOLLOW = 0.05;

  /** Answers of a warm server of unit weight; 0 while nothing is known of it. */
  double warm;

  /** Answers of all servers; positive infinity before the first second is over. */
  double answered = Double.POSITIVE_INFINITY;

  /** Requests of clients. */
  double requested;

  private double warmAnswers;
  private double answers;
  private int requests;
  private double countedSince = Double.NaN;

  /** A client's request has come. */
  void request() {
    requests++;
  }

  /** A server has answered; {@code byWarm} if it was warm. */
  void answer(boolean byWarm) {
    answers++;
    warmAnswers += byWarm ? 1 : 0;
  }

  /** Whether it is time to average. */
  boolean due(double now) {
    countedSince = Double.isNaN(countedSince) ? now : countedSince;
    return now - countedSince >= INTERVAL;
  }

  /**
   * Averages what was counted. The warm rate falls slowly: retries, little load or too much say
   * nothing of what a server can do. Requests are averaged slowly, lest a storm of clients' tries
   * raise their rate.
   *
   * @param warmWeight the weight of all warm servers that are in order
   * @param sending whether requests may go out at all: if not, that none is answered tells nothing
   */
  void average(double now, double warmWeight, boolean sending) {
    double seconds = now - countedSince;
    if (sending) {
      averageAnswers(seconds, warmWeight);
    }
    requested += (requested == 0 ? 1 : REQUESTS_FOLLOW) * (requests / seconds - requested);
    warmAnswers = 0;
    answers = 0;
    requests = 0;
    countedSince = now;
  }

  private void averageAnswers(double seconds, double warmWeight) {
    if (warmWeight > 0) {
      double rate = warmAnswers / seconds / warmWeight;
      warm += (warm == 0 ? 1 : rate > warm ? WARM_RISES : WARM_FALLS) * (rate - warm);
    }
    double rate = answers / seconds;
    answered = Double.isInfinite(answered) ? rate : 0.5 * (answered + rate);
  }
}
