package beamspread.lab;

import java.util.PriorityQueue;

/** What is to happen, in the order of virtual time, and within one moment in that of its asking. */
final class Timeline {
  /** What can still be called off. */
  static final class Entry implements Comparable<Entry> {
    private final long at;
    private final long order;
    private Runnable step;

    private Entry(long at, long order, Runnable step) {
      this.at = at;
      this.order = order;
      this.step = step;
    }

    /** It does not happen; without effect once it has. */
    void cancel() {
      step = null;
    }

    @Override
    public int compareTo(Entry other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Entry> entries = new PriorityQueue<>();
  private long now;
  private long asked;
  private long steps;

  /** Virtual time in nanoseconds. */
  long now() {
    return now;
  }

  /** Virtual time in seconds, as the decision module counts. */
  double seconds() {
    return now / 1e9;
  }

  /** How much has happened. */
  long steps() {
    return steps;
  }

  /** Has a step happen after so many nanoseconds. */
  Entry in(long delay, Runnable step) {
    Entry entry = new Entry(now + Math.max(0, delay), asked++, step);
    entries.add(entry);
    return entry;
  }

  /** Lets happen all that is due by the given time. */
  void run(long until) {
    for (Entry next = entries.peek(); next != null && next.at <= until; next = entries.peek()) {
      entries.poll();
      if (next.step != null) {
        now = next.at;
        Runnable step = next.step;
        next.step = null;
        steps++;
        step.run();
      }
    }
    now = until;
  }
}
