package beamspread.lab;

import java.util.function.IntSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Demand without memory: a Poisson stream of requests for keys that follow Zipf's law. It has no
 * end. The same seed gives the same requests, in the model and against real nodes alike.
 */
public final class PoissonDemand implements Demand {
  private final Fleet.Load load;
  private final IntSupplier keys;
  private final UniformRandomProvider kinds;
  private final ZigguratSampler.Exponential gaps;
  private long at;

  /** The demand of a load. */
  public PoissonDemand(Fleet.Load load, long seed) {
    Streams streams = new Streams(seed);
    this.load = load;
    this.kinds = streams.of("kinds");
    this.gaps = ZigguratSampler.Exponential.of(streams.of("arrivals"));
    UniformRandomProvider drawn = streams.of("keys");
    if (load.skew() == 0) {
      keys = () -> drawn.nextInt(load.keys());
    } else {
      var zipf = RejectionInversionZipfSampler.of(drawn, load.keys(), load.skew());
      keys = () -> zipf.sample() - 1;
    }
  }

  @Override
  public Ask next() {
    at += (long) (gaps.sample() / load.rate() * 1e9);
    return new Ask(at, keys.getAsInt(), kinds.nextDouble() < load.writes());
  }
}
