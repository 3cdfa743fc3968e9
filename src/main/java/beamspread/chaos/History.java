package beamspread.chaos;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What happened in a run, in one order: what was done to it, what each process and client said, and
 * what was really so. Times are nanoseconds from the run's beginning and never fall. Any thread may
 * tell it something.
 */
public final class History {
  /** More is not kept: a run that says more can't be judged, and is said to be so. */
  public static final int MOST_EVENTS = 400_000;

  /** What kind of thing happened. */
  public enum What {
    /** A fault began. */
    FAULT,
    /** A fault was over. */
    HEALED,
    /** A process was started, as the system has it. */
    STARTED,
    /** A process ended, as the system has it. */
    ENDED,
    /** Somebody asked somebody for something. */
    ASKED,
    /** What came of it, as who asked was told. */
    TOLD,
    /** What was seen to be so. */
    SEEN,
    /** The run came to a new part. */
    PART
  }

  /**
   * Something that happened.
   *
   * @param who whom it happened to, or who says it
   * @param says in words
   * @param facts for who judges: names and values
   */
  public record Event(long atNanos, What what, String who, String says, Map<String, Object> facts) {
    /** A fact as text; null if it is not there. */
    public String text(String name) {
      Object value = facts.get(name);
      return value == null ? null : value.toString();
    }

    /** A fact as a number; {@code absent} if it is not there. */
    public long number(String name, long absent) {
      return facts.get(name) instanceof Number number ? number.longValue() : absent;
    }
  }

  private final List<Event> events = new ArrayList<>();
  private final long beganAt;
  private long lastAt;
  private long dropped;

  /** A history that begins at this time of {@link System#nanoTime}. */
  public History(long beganAt) {
    this.beganAt = beganAt;
  }

  /** Something happened at this time of {@link System#nanoTime}; facts are names and values. */
  public synchronized void tell(long now, What what, String who, String says, Object... facts) {
    if (events.size() >= MOST_EVENTS) {
      dropped++;
      return;
    }
    Map<String, Object> named = new LinkedHashMap<>();
    for (int i = 0; i < facts.length; i += 2) {
      named.put((String) facts[i], facts[i + 1]);
    }
    lastAt = Math.max(lastAt, now - beganAt);
    events.add(new Event(lastAt, what, who, says, Collections.unmodifiableMap(named)));
  }

  /** All of it so far. */
  public synchronized List<Event> events() {
    return List.copyOf(events);
  }

  /** What happened after it was full. */
  public synchronized long dropped() {
    return dropped;
  }
}
