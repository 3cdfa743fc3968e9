package beamspread.record;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.TimeUnit;

/**
 * Callers of which one runs at a time, from one call to the database to the next; which one is
 * drawn. The points between are outside of transactions, so that nobody waits for a lock.
 */
final class InterleavedCalls implements AutoCloseable {
  private static final int STEP_SECONDS = 20;

  private final List<Caller> callers = new ArrayList<>();

  /** One caller, in a thread of its own. */
  private static final class Caller {
    final SynchronousQueue<Boolean> mayGoOn = new SynchronousQueue<>();
    final SynchronousQueue<Boolean> hasStopped = new SynchronousQueue<>();
    Thread thread;
    volatile Throwable failure;

    /** Waits for its next turn; the thread that draws goes on meanwhile. */
    void yield() throws InterruptedException {
      hasStopped.put(true);
      mayGoOn.take();
    }
  }

  private final ThreadLocal<Caller> current = new ThreadLocal<>();

  /** The store, on whose calls its caller stops. */
  Store through(Store store) {
    return new InterposedStore(store, this::stop, this::stop);
  }

  private void stop() throws InterruptedException {
    Caller caller = current.get();
    if (caller != null) {
      caller.yield();
    }
  }

  /** Adds a caller. */
  void start(InterposedStore.Action calls) {
    Caller caller = new Caller();
    caller.thread =
        new Thread(
            () -> {
              current.set(caller);
              try {
                caller.mayGoOn.take();
                calls.run();
              } catch (Exception | AssertionError e) {
                caller.failure = e;
              }
              try {
                caller.hasStopped.put(false);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    caller.thread.setDaemon(true);
    caller.thread.start();
    callers.add(caller);
  }

  /** Runs all callers to their ends, in an order that is drawn. */
  void runAll(SplittableRandom random) throws Exception {
    List<Caller> running = new ArrayList<>(callers);
    while (!running.isEmpty()) {
      Caller next = running.get(random.nextInt(running.size()));
      next.mayGoOn.put(true);
      Boolean goesOn = next.hasStopped.poll(STEP_SECONDS, TimeUnit.SECONDS);
      if (goesOn == null) {
        throw new AssertionError("a call took more than " + STEP_SECONDS + " s");
      }
      if (!goesOn) {
        running.remove(next);
      }
      if (next.failure != null) {
        throw new AssertionError(next.failure);
      }
    }
  }

  @Override
  public void close() {
    callers.forEach(caller -> caller.thread.interrupt());
  }
}
