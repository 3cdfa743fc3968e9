package beamspread.lab;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** How much work requests are. */
public enum Work {
  /** All the same. */
  FIXED {
    @Override
    public long nanos(UniformRandomProvider random, double mean) {
      return (long) (mean * 1e9);
    }
  },

  /** Exponentially distributed around the mean. */
  EXPONENTIAL {
    @Override
    public long nanos(UniformRandomProvider random, double mean) {
      return (long) (ZigguratSampler.Exponential.of(random).sample() * mean * 1e9);
    }
  };

  /**
   * @param mean seconds
   */
  public abstract long nanos(UniformRandomProvider random, double mean);
}
