package beamspread.lab;

import java.util.ArrayDeque;

/**
 * Some cores before one queue, first come first served. Knows how long it has been how full, which
 * the tests set against what queueing theory says.
 */
final class Cores {
  /** A piece of work. */
  private record Job(long nanos, long since, Runnable done) {}

  private final Timeline time;
  private final int cores;
  private final int places;
  private final ArrayDeque<Job> queue = new ArrayDeque<>();
  private double speed = 1;
  private int busy;
  private int inside;
  private long epoch;
  private long changedAt;
  private double areaNanos;
  private long waitedNanos;
  private long begun;

  /**
   * @param places how many may wait
   */
  Cores(Timeline time, int cores, int places) {
    this.time = time;
    this.cores = cores;
    this.places = places;
  }

  /** Works at another speed from now on; what has begun goes on at the one before. */
  void speed(double times) {
    speed = times;
  }

  /** Takes work; false if there is no place for it. */
  boolean take(long nanos, Runnable done) {
    Job job = new Job(nanos, time.now(), done);
    if (busy < cores) {
      count(1);
      begin(job);
    } else if (queue.size() < places) {
      count(1);
      queue.add(job);
    } else {
      return false;
    }
    return true;
  }

  private void begin(Job job) {
    busy++;
    begun++;
    waitedNanos += time.now() - job.since();
    long now = epoch;
    time.in(
        (long) (job.nanos() / speed),
        () -> {
          if (now == epoch) {
            end(job);
          }
        });
  }

  private void end(Job job) {
    count(-1);
    busy--;
    Job next = queue.poll();
    if (next != null) {
      begin(next);
    }
    job.done().run();
  }

  /** All that is under way and waits is lost. */
  void reset() {
    epoch++;
    count(-busy - queue.size());
    busy = 0;
    queue.clear();
  }

  private void count(int change) {
    areaNanos += (double) inside() * (time.now() - changedAt);
    changedAt = time.now();
    inside += change;
  }

  /** How many are worked on or wait. */
  int inside() {
    return inside;
  }

  /** The mean of {@link #inside()} over time so far. */
  double meanInside() {
    count(0);
    return areaNanos / Math.max(1, time.now());
  }

  /** The mean time that work waited before it began, in seconds. */
  double meanWait() {
    return waitedNanos / 1e9 / Math.max(1, begun);
  }
}
