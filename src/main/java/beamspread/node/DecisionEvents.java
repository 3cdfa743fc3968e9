package beamspread.node;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Tells the decision module what has happened, one event after the other. The module is never
 * called from within one of its calls: what its own actions cause is told after the event that
 * caused them. All of it runs on the event loop.
 */
final class DecisionEvents {
  /** Something that has happened. */
  interface Event {
    /**
     * Tells the module.
     *
     * @param now seconds of the module's clock
     */
    void tell(double now);
  }

  private final Clock clock;
  private final Consumer<Throwable> failed;
  private final ArrayDeque<Event> waiting = new ArrayDeque<>();
  private boolean telling;

  /**
   * @param failed is told when the module has failed at an event; those behind it are still told
   */
  DecisionEvents(Clock clock, Consumer<Throwable> failed) {
    this.clock = clock;
    this.failed = failed;
  }

  /** Tells the module of an event, and then of those that its own actions cause. */
  void tell(Event event) {
    waiting.add(event);
    tellWaiting();
  }

  /** Tells the module of what waits, unless it is in a call already. */
  void tellWaiting() {
    if (telling) {
      return;
    }
    telling = true;
    try {
      for (Event next = waiting.poll(); next != null; next = waiting.poll()) {
        try {
          next.tell(clock.now());
        } catch (RuntimeException | VirtualMachineError e) {
          failed.accept(e);
        }
      }
    } finally {
      telling = false;
    }
  }

  /**
   * Runs a step whose events wait until the caller is done.
   *
   * @return whether events wait that nobody is about to tell
   */
  boolean collect(Runnable step) {
    boolean before = telling;
    telling = true;
    try {
      step.run();
    } finally {
      telling = before;
    }
    return !before && !waiting.isEmpty();
  }
}
