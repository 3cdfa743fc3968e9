package beamspread.policy;

import java.util.PriorityQueue;

/** Runs steps in the order of their times; steps of one time run in the order of scheduling. */
class VirtualTime {
  private record Event(double at, long number, Runnable step) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.number, b.number));
  private long nextNumber;

  /** Time of the current step, in seconds. */
  double now;

  void schedule(double time, Runnable step) {
    events.add(new Event(time, nextNumber++, step));
  }

  void runUntil(double until) {
    while (!events.isEmpty() && events.peek().at <= until) {
      Event next = events.poll();
      now = next.at;
      next.step.run();
    }
  }
}
