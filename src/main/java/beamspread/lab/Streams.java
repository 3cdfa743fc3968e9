package beamspread.lab;

import beamspread.model.Hashes;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random numbers of one run: a stream for each cause, which no other cause draws from. What one
 * variant draws more of for its own ends changes nothing of what else is drawn.
 */
public final class Streams {
  private final long seed;

  /** The streams of one run. */
  public Streams(long seed) {
    this.seed = seed;
  }

  /** The stream of a cause; the same for the same seed and name. */
  public UniformRandomProvider of(String cause) {
    long mixed = seed;
    for (int i = 0; i < cause.length(); i++) {
      mixed = Hashes.mix(mixed * 31 + cause.charAt(i));
    }
    return RandomSource.XO_RO_SHI_RO_128_PP.create(mixed);
  }
}
