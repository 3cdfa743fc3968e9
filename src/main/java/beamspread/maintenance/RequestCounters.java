package beamspread.maintenance;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts replies and dispatches since the start of the process. Only classes of the settings are
 * counted, so that clients can't make the map grow. Not thread-safe.
 */
public final class RequestCounters {
  /** The result of a request. */
  public enum Ending {
    SUCCESS,
    OVERLOAD,
    ERROR
  }

  private final Map<String, long[]> replies = new LinkedHashMap<>();
  private long dispatches;

  /** Starts the counts of these classes at 0. */
  public RequestCounters(Iterable<String> classes) {
    classes.forEach(name -> replies.put(name, new long[Ending.values().length]));
  }

  /** Records the final answer to a request of this class. */
  public void recordReply(String serviceClass, Ending ending) {
    long[] counts = replies.get(serviceClass);
    if (counts != null) {
      counts[ending.ordinal()]++;
    }
  }

  /** Records an attempt that was written in full. */
  public void recordDispatch() {
    dispatches++;
  }

  /** Returns how many attempts were written in full. */
  public long dispatches() {
    return dispatches;
  }

  /** Returns the classes, in the order of the settings. */
  public List<String> classes() {
    return new ArrayList<>(replies.keySet());
  }

  /** Returns how many requests of a class ended with this result. */
  public long replies(String serviceClass, Ending ending) {
    return replies.get(serviceClass)[ending.ordinal()];
  }
}
