package beamspread.policy;

import java.util.PriorityQueue;

/** Steps in the order of their times, those of one time in the order in which they were set. */
class VirtualTime {
  private record Event(double at, long number, Runnable step) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.number, b.number));
  private long numbers;

  /** The time of the step under way, in seconds. */
  double now;

  void at(double time, Runnable step) {
    events.add(new Event(time, numbers++, step));
  }

  void play(double until) {
    while (!events.isEmpty() && events.peek().at <= until) {
      Event next = events.poll();
      now = next.at;
      next.step.run();
    }
  }
}
