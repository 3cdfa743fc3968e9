package beamspread.node.discovery;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Logs and counts what happens to the list of cache servers: each version that is taken over, each
 * failed call until there have been many in a row, and faults in the list's lines.
 */
public final class ListLog {
  private static final long REPEAT_NANOS = 60_000_000_000L;

  /** Kinds of faults that are remembered. */
  private static final int REMEMBERED = 64;

  /** Failures in a row that are logged one by one; after them one a minute is. */
  private static final int LOGGED_IN_A_ROW = 20;

  private final Consumer<String> log;
  private final Map<CallFailure.Kind, Long> failures = new EnumMap<>(CallFailure.Kind.class);
  private int inARow;
  private long loggedFailureAt;

  private final Map<String, Long> faultLoggedAt =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > REMEMBERED;
        }
      };

  /**
   * A log that has counted nothing yet.
   *
   * @param log takes its lines
   */
  public ListLog(Consumer<String> log) {
    this.log = log;
  }

  /** A line of the list can't be worked with; the same is logged at most once a minute. */
  public void fault(String why) {
    long now = System.nanoTime();
    Long before = faultLoggedAt.get(why);
    if (before == null || now - before > REPEAT_NANOS) {
      faultLoggedAt.put(why, now);
      log.accept("discovery: " + why);
    }
  }

  /** A list, or a change of it, is taken over. */
  public void told(MemberList list) {
    String after = inARow == 0 ? "" : " after " + inARow + " failed calls";
    log.accept(
        "discovery: version %d (%s, %d servers)%s"
            .formatted(
                list.version(), list.full() ? "whole" : "changes", list.members().size(), after));
    inARow = 0;
  }

  /** A call has failed. */
  public void failed(CallFailure failure) {
    failures.merge(failure.kind(), 1L, Long::sum);
    inARow++;
    long now = System.nanoTime();
    if (inARow <= LOGGED_IN_A_ROW || now - loggedFailureAt > REPEAT_NANOS) {
      loggedFailureAt = now;
      log.accept(
          "discovery: call %d: %s after %d ms%s"
              .formatted(
                  failure.call(),
                  failure.text(),
                  failure.millis(),
                  failure.progress() == CallFailure.Progress.TOLD ? ", a watch that stood" : ""));
    }
  }

  /** How many calls have ended in each way since the start. */
  public Map<CallFailure.Kind, Long> failures() {
    return failures;
  }
}
