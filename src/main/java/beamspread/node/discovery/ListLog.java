package beamspread.node.discovery;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Logs and counts events of the list of cache servers: each version that is applied, failed calls,
 * and faults in its entries. After many consecutive failures only one per minute is logged.
 */
public final class ListLog {
  private static final long REPEAT_INTERVAL_NANOS = 60_000_000_000L;

  /** Maximum number of distinct faults whose last log time is remembered. */
  private static final int MAX_REMEMBERED_FAULTS = 64;

  /** Consecutive failures that are each logged; later ones are logged once a minute. */
  private static final int MAX_CONSECUTIVE_LOGGED = 20;

  private final Consumer<String> log;
  private final Map<CallFailure.Kind, Long> failuresByKind = new EnumMap<>(CallFailure.Kind.class);
  private int consecutiveFailures;
  private long lastFailureLoggedNanos;

  private final Map<String, Long> faultLoggedNanos =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_REMEMBERED_FAULTS;
        }
      };

  /**
   * Creates a log whose counts are all 0.
   *
   * @param log receives the log lines
   */
  public ListLog(Consumer<String> log) {
    this.log = log;
  }

  /** Logs an unusable entry of the list; the same text at most once a minute. */
  public void logFault(String description) {
    long now = System.nanoTime();
    Long lastLoggedNanos = faultLoggedNanos.get(description);
    if (lastLoggedNanos == null || now - lastLoggedNanos > REPEAT_INTERVAL_NANOS) {
      faultLoggedNanos.put(description, now);
      log.accept("discovery: " + description);
    }
  }

  /** Logs that a full list or a change was applied. */
  public void listReceived(MemberList list) {
    String failedCalls =
        consecutiveFailures == 0 ? "" : " after " + consecutiveFailures + " failed calls";
    log.accept(
        "discovery: version %d (%s, %d servers)%s"
            .formatted(
                list.version(),
                list.full() ? "whole" : "changes",
                list.members().size(),
                failedCalls));
    consecutiveFailures = 0;
  }

  /** Counts a failed call and logs it, unless there have been too many in a row. */
  public void callFailed(CallFailure failure) {
    failuresByKind.merge(failure.kind(), 1L, Long::sum);
    consecutiveFailures++;
    long now = System.nanoTime();
    if (consecutiveFailures <= MAX_CONSECUTIVE_LOGGED
        || now - lastFailureLoggedNanos > REPEAT_INTERVAL_NANOS) {
      lastFailureLoggedNanos = now;
      log.accept(
          "discovery: call %d: %s after %d ms%s"
              .formatted(
                  failure.callNumber(),
                  failure.description(),
                  failure.durationMillis(),
                  failure.progress() == CallFailure.Progress.LIST_RECEIVED
                      ? ", established watch"
                      : ""));
    }
  }

  /** Returns how many calls have failed since the start, by cause. */
  public Map<CallFailure.Kind, Long> failuresByKind() {
    return failuresByKind;
  }
}
