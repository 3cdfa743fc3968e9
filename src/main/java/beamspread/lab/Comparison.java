package beamspread.lab;

import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * Whether one figure of two variants differs, over runs that share their seeds: the mean of the
 * differences with its interval by Student's t (paired). Pairs take out what the seeds do to both.
 *
 * @param pairs how many seeds
 * @param first the first variant's mean
 * @param second the second variant's mean
 * @param difference second less first, the mean over the pairs
 * @param margin half the interval around it
 * @param needed how many seeds would tell a difference of this size, 0 if it is told or there is
 *     none
 */
record Comparison(
    int pairs, double first, double second, double difference, double margin, long needed) {
  /** Figures nearer than this to each other are the same but for the sums' rounding. */
  private static final double EQUAL = 1e-12;

  /**
   * Compares two variants by one figure.
   *
   * @param first the figure in each run of the first, in the order of the seeds
   * @param second the same of the second
   * @param level the confidence, for instance 0.95
   * @throws IllegalArgumentException if they are not at least two pairs
   */
  static Comparison of(double[] first, double[] second, double level) {
    if (first.length != second.length || first.length < 2) {
      throw new IllegalArgumentException("two runs of each variant are needed at least, in pairs");
    }
    SummaryStatistics one = new SummaryStatistics();
    SummaryStatistics two = new SummaryStatistics();
    SummaryStatistics differences = new SummaryStatistics();
    for (int i = 0; i < first.length; i++) {
      one.addValue(first[i]);
      two.addValue(second[i]);
      differences.addValue(second[i] - first[i]);
    }
    int pairs = first.length;
    double quantile = new TDistribution(pairs - 1).inverseCumulativeProbability(0.5 + level / 2);
    double margin = quantile * differences.getStandardDeviation() / Math.sqrt(pairs);
    double difference = differences.getMean();
    long needed = 0;
    if (Math.abs(difference) > EQUAL && Math.abs(difference) <= margin) {
      double ratio = quantile * differences.getStandardDeviation() / Math.abs(difference);
      needed = (long) Math.min(1e9, Math.ceil(ratio * ratio));
    }
    return new Comparison(pairs, one.getMean(), two.getMean(), difference, margin, needed);
  }

  /** Whether a difference is shown. */
  boolean shown() {
    return Math.abs(difference) > EQUAL && Math.abs(difference) > margin;
  }
}
