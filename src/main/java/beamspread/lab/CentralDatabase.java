package beamspread.lab;

import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/** The origin behind all boxes: slow, and of a fixed capacity. */
final class CentralDatabase {
  private final Fleet.Origin origin;
  private final Work distribution;
  private final UniformRandomProvider random;
  private final Cores cores;
  private long fetches;

  CentralDatabase(
      Fleet.Origin origin, Work distribution, UniformRandomProvider random, Timeline time) {
    this.origin = origin;
    this.distribution = distribution;
    this.random = random;
    this.cores = new Cores(time, origin.cores(), origin.queue());
  }

  /** Takes a fetch or a write; tells whether it was done. */
  void take(boolean write, Consumer<Boolean> done) {
    if (!cores.take(distribution.nanos(random, origin.work()), () -> done(write, done))) {
      done.accept(false);
    }
  }

  private void done(boolean write, Consumer<Boolean> done) {
    fetches += write ? 0 : 1;
    done.accept(true);
  }

  void slow(double part) {
    cores.speed(part);
  }

  long fetches() {
    return fetches;
  }
}
