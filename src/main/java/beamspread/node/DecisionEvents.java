package beamspread.node;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Delivers events to the decision module one after the other. The module is never called from
 * within one of its own calls: events that its actions cause are delivered after the event that
 * caused them. Runs on the event loop only.
 */
final class DecisionEvents {
  /** An event for the decision module. */
  interface Event {
    /**
     * Delivers the event to the decision module.
     *
     * @param now seconds of the module's clock
     */
    void deliver(double now);
  }

  private final Clock clock;
  private final Consumer<Throwable> onFailure;
  private final ArrayDeque<Event> pending = new ArrayDeque<>();
  private boolean delivering;

  /**
   * @param onFailure receives the exception when the module fails on an event; later events are
   *     still delivered
   */
  DecisionEvents(Clock clock, Consumer<Throwable> onFailure) {
    this.clock = clock;
    this.onFailure = onFailure;
  }

  /** Delivers an event, and then the events that the module's own actions cause. */
  void post(Event event) {
    pending.add(event);
    deliverPending();
  }

  /** Delivers the pending events, unless a delivery is already in progress. */
  void deliverPending() {
    if (delivering) {
      return;
    }
    delivering = true;
    try {
      for (Event next = pending.poll(); next != null; next = pending.poll()) {
        try {
          next.deliver(clock.now());
        } catch (RuntimeException | VirtualMachineError e) {
          onFailure.accept(e);
        }
      }
    } finally {
      delivering = false;
    }
  }

  /**
   * Runs a step and holds back the events that it posts until the caller is done.
   *
   * @return whether events are pending that the caller has to have delivered
   */
  boolean runWithDeliveryHeld(Runnable action) {
    boolean wasDelivering = delivering;
    delivering = true;
    try {
      action.run();
    } finally {
      delivering = wasDelivering;
    }
    return !wasDelivering && !pending.isEmpty();
  }
}
