package beamspread.maintenance;

import beamspread.model.Outcome;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Formats what a node did in each second as one log line of names and numbers. The lines of all
 * nodes can be added up, since a load that is small at one node may be large over all of them.
 * Counts cover the second that ends with the line. Not thread-safe; memory is bounded by the number
 * of listed servers.
 */
public final class Tally {
  /** First word of each line. */
  public static final String LINE_PREFIX = "tally";

  /** Field that lists servers to which connecting failed. */
  public static final String CONNECT_FAILURES_FIELD = "shut";

  /** Most servers named in a line. */
  private static final int MAX_NAMED_SERVERS = 8;

  /** Most servers counted in a second; further ones are counted together. */
  private static final int MAX_COUNTED_SERVERS = 1024;

  /** Delay before its first attempt, in seconds, above which a request counts as held. */
  private static final double HELD_THRESHOLD_SECONDS = 0.005;

  /** The counts of a second; their lower-case names are the field names of the line. */
  private enum Count {
    READS,
    WRITES,
    READS_SERVED,
    WRITES_SERVED,
    READS_LATE,
    WRITES_LATE,
    REFUSED,
    /** Refused requests without any attempt. */
    UNSENT,
    FAILED,
    GONE,
    TRIES,
    /** Requests with a delayed first attempt, and their total delay in milliseconds. */
    HELD,
    HELD_MS,
    HITS,
    MISSES,
    HIT_MS,
    MISS_MS,
    WRITE_MS
  }

  /** Current values and running totals of a node at the end of a second. */
  public record Gauges(
      int openRequests,
      int openAttempts,
      int clientConnections,
      int serverConnections,
      long openedTotal,
      long failedOpensTotal) {}

  private final long[] counts = new long[Count.values().length];
  private final Map<Outcome.Result, Integer> endsByResult = new EnumMap<>(Outcome.Result.class);
  private final Map<Long, Integer> connectFailuresByServer = new HashMap<>();
  private long lastOpenedTotal;
  private long lastFailedOpensTotal;

  private void add(Count count, long by) {
    counts[count.ordinal()] += by;
  }

  /** Records an accepted request. */
  public void requestAccepted(boolean write) {
    add(write ? Count.WRITES : Count.READS, 1);
  }

  /**
   * Records a sent attempt.
   *
   * @param first whether it is the first of its request
   * @param waitedSeconds seconds since the request was accepted
   */
  public void attemptSent(boolean first, double waitedSeconds) {
    add(Count.TRIES, 1);
    if (first && waitedSeconds > HELD_THRESHOLD_SECONDS) {
      add(Count.HELD, 1);
      add(Count.HELD_MS, Math.round(waitedSeconds * 1e3));
    }
  }

  /** Records the outcome of an attempt. */
  public void attemptEnded(Outcome outcome, boolean write) {
    endsByResult.merge(outcome.result(), 1, Integer::sum);
    long millis = Math.round(outcome.elapsedSeconds() * 1e3);
    if (outcome.result() == Outcome.Result.OK) {
      if (write) {
        add(Count.WRITE_MS, millis);
      } else if (outcome.note() == Outcome.Note.HIT) {
        add(Count.HITS, 1);
        add(Count.HIT_MS, millis);
      } else if (outcome.note().isMiss()) {
        add(Count.MISSES, 1);
        add(Count.MISS_MS, millis);
      }
    } else if (outcome.result() == Outcome.Result.CONNECT_FAILED) {
      boolean room =
          connectFailuresByServer.size() < MAX_COUNTED_SERVERS
              || connectFailuresByServer.containsKey(outcome.server());
      connectFailuresByServer.merge(room ? outcome.server() : -1L, 1, Integer::sum);
    }
  }

  /** Records a served request; it is late if its aim had passed. */
  public void requestServed(boolean write, boolean late) {
    add(write ? Count.WRITES_SERVED : Count.READS_SERVED, 1);
    if (late) {
      add(write ? Count.WRITES_LATE : Count.READS_LATE, 1);
    }
  }

  /** Records a refused request. */
  public void requestRefused(boolean unsent) {
    add(Count.REFUSED, 1);
    add(Count.UNSENT, unsent ? 1 : 0);
  }

  /** Records a request answered as failed. */
  public void requestFailed() {
    add(Count.FAILED, 1);
  }

  /** Records a client that disconnected before its answer. */
  public void clientDisconnected() {
    add(Count.GONE, 1);
  }

  /**
   * Returns the line of the second that ends now, and starts the next second.
   *
   * @param unixMillis wall-clock time, by which lines of several nodes are matched
   */
  public String nextLine(long unixMillis, Gauges gauges) {
    StringBuilder line = new StringBuilder(LINE_PREFIX);
    append(line, "at", unixMillis);
    for (Count count : Count.values()) {
      append(line, count.name().toLowerCase(Locale.ROOT), counts[count.ordinal()]);
      counts[count.ordinal()] = 0;
    }
    for (Outcome.Result result : Outcome.Result.values()) {
      append(
          line,
          "end_" + result.name().toLowerCase(Locale.ROOT),
          endsByResult.getOrDefault(result, 0));
    }
    endsByResult.clear();
    append(line, "open", gauges.openRequests());
    append(line, "attempts", gauges.openAttempts());
    append(line, "clients", gauges.clientConnections());
    append(line, "links", gauges.serverConnections());
    append(line, "opened", gauges.openedTotal() - lastOpenedTotal);
    append(line, "turned_down", gauges.failedOpensTotal() - lastFailedOpensTotal);
    lastOpenedTotal = gauges.openedTotal();
    lastFailedOpensTotal = gauges.failedOpensTotal();
    if (!connectFailuresByServer.isEmpty()) {
      line.append(' ').append(CONNECT_FAILURES_FIELD).append('=').append(mostConnectFailures());
      connectFailuresByServer.clear();
    }
    return line.toString();
  }

  private static void append(StringBuilder line, String name, long value) {
    line.append(' ').append(name).append('=').append(value);
  }

  /** Returns the servers with the most connect failures, as ID:COUNT. */
  private String mostConnectFailures() {
    List<Map.Entry<Long, Integer>> entries = new ArrayList<>(connectFailuresByServer.entrySet());
    entries.sort(
        Comparator.<Map.Entry<Long, Integer>>comparingInt(Map.Entry::getValue)
            .reversed()
            .thenComparing(Map.Entry::getKey));
    StringBuilder text = new StringBuilder();
    for (Map.Entry<Long, Integer> entry :
        entries.subList(0, Math.min(MAX_NAMED_SERVERS, entries.size()))) {
      text.append(text.length() == 0 ? "" : ",");
      text.append(Long.toHexString(entry.getKey())).append(':').append(entry.getValue());
    }
    return text.toString();
  }
}
