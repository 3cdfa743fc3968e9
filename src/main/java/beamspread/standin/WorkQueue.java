package beamspread.standin;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Cores before one queue, on real time. Each piece of work begins when the one before was due to
 * end, not when its end was noticed: a late timer makes an answer late, and no more of them.
 */
final class WorkQueue {
  private record Job(long nanos, Runnable done) {}

  private final EventLoop loop;
  private final int cores;
  private final int places;
  private final ArrayDeque<Job> queue = new ArrayDeque<>();
  private double speed = 1;
  private int busy;
  private long epoch;

  /**
   * @param places how many may wait
   */
  WorkQueue(EventLoop loop, int cores, int places) {
    this.loop = loop;
    this.cores = cores;
    this.places = places;
  }

  /** Works at another speed from now on; what has begun goes on at the one before. */
  void speed(double times) {
    speed = times;
  }

  /** Takes work; false if there is no place for it. */
  boolean take(long nanos, Runnable done) {
    if (busy < cores) {
      busy++;
      begin(new Job(nanos, done), System.nanoTime());
    } else if (queue.size() < places) {
      queue.add(new Job(nanos, done));
    } else {
      return false;
    }
    return true;
  }

  private void begin(Job job, long at) {
    long due = at + (long) (job.nanos() / speed);
    long now = epoch;
    loop.schedule(
        () -> {
          if (now == epoch) {
            end(job, due);
          }
        },
        due - System.nanoTime(),
        TimeUnit.NANOSECONDS);
  }

  private void end(Job job, long due) {
    Job next = queue.poll();
    if (next == null) {
      busy--;
    } else {
      begin(next, due);
    }
    job.done().run();
  }

  /** All that is under way and waits is lost. */
  void reset() {
    epoch++;
    busy = 0;
    queue.clear();
  }
}
