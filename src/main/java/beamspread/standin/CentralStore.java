package beamspread.standin;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** A stand-in central database behind the boxes: slow, and of a fixed capacity. */
public final class CentralStore {
  private final WorkQueue cores;
  private final LongSupplier work;
  private long fetches;

  /**
   * @param cores how many requests it works on at a time
   * @param places how many may wait
   * @param work nanoseconds for the next one
   */
  public CentralStore(EventLoop loop, int cores, int places, LongSupplier work) {
    this.cores = new WorkQueue(loop, cores, places);
    this.work = work;
  }

  /** Takes a fetch or a write; tells whether it was done. Called from the loop, as all here. */
  void take(boolean write, Consumer<Boolean> done) {
    Runnable end =
        () -> {
          fetches += write ? 0 : 1;
          done.accept(true);
        };
    if (!cores.take(work.getAsLong(), end)) {
      done.accept(false);
    }
  }

  /** Works at this part of its speed from now on. */
  public void slow(double part) {
    cores.speed(part);
  }

  /** Fetches that it has carried out. */
  public long fetches() {
    return fetches;
  }
}
