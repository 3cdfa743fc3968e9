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
 * What a node does in each second, as one line of names and numbers, so that the lines of all nodes
 * can be added up: what is harmless in one node may be dear in all. Counts are of the second that
 * ends with the line. Not for more than one thread; its memory is that of the servers listed.
 */
public final class Tally {
  /** The word a line begins with. */
  public static final String HEAD = "tally";

  /** The name under which a line lists servers that had no connection to give. */
  public static final String SHUT = "shut";

  /** Servers named in a line. */
  private static final int NAMED = 8;

  /** Servers counted in a second; more are one rest. */
  private static final int MOST_SERVERS = 1024;

  /** From so many seconds on a request was held before its first attempt. */
  private static final double HELD = 0.005;

  /** The figures of the second, by their names in the line. */
  private enum Count {
    READS,
    WRITES,
    READS_SERVED,
    WRITES_SERVED,
    READS_LATE,
    WRITES_LATE,
    REFUSED,
    /** Of those refused: no attempt had been made. */
    UNSENT,
    FAILED,
    GONE,
    TRIES,
    /** Requests whose first attempt came late, and by how many milliseconds together. */
    HELD,
    HELD_MS,
    HITS,
    MISSES,
    HIT_MS,
    MISS_MS,
    WRITE_MS
  }

  /** What a node has at the end of a second. */
  public record Gauges(int open, int attempts, int clients, int links, long opened, long refused) {}

  private final long[] counts = new long[Count.values().length];
  private final Map<Outcome.Result, Integer> ends = new EnumMap<>(Outcome.Result.class);
  private final Map<Long, Integer> shut = new HashMap<>();
  private long opened;
  private long refused;

  private void add(Count count, long by) {
    counts[count.ordinal()] += by;
  }

  /** A request was taken. */
  public void taken(boolean write) {
    add(write ? Count.WRITES : Count.READS, 1);
  }

  /**
   * An attempt goes out.
   *
   * @param first whether it is its request's first
   * @param waited seconds since the request was taken
   */
  public void sent(boolean first, double waited) {
    add(Count.TRIES, 1);
    if (first && waited > HELD) {
      add(Count.HELD, 1);
      add(Count.HELD_MS, Math.round(waited * 1e3));
    }
  }

  /** An attempt has ended. */
  public void ended(Outcome outcome, boolean write) {
    ends.merge(outcome.result(), 1, Integer::sum);
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
      boolean room = shut.size() < MOST_SERVERS || shut.containsKey(outcome.server());
      shut.merge(room ? outcome.server() : -1L, 1, Integer::sum);
    }
  }

  /** A request was served; late if its aim was over. */
  public void served(boolean write, boolean late) {
    add(write ? Count.WRITES_SERVED : Count.READS_SERVED, 1);
    if (late) {
      add(write ? Count.WRITES_LATE : Count.READS_LATE, 1);
    }
  }

  /** A request was turned away. */
  public void refused(boolean unsent) {
    add(Count.REFUSED, 1);
    add(Count.UNSENT, unsent ? 1 : 0);
  }

  /** A request was answered as failed. */
  public void failed() {
    add(Count.FAILED, 1);
  }

  /** A client went away before its answer. */
  public void gone() {
    add(Count.GONE, 1);
  }

  /**
   * The line of the second that ends now; the next one begins.
   *
   * @param unixMillis the time of day, by which the lines of several nodes are put together
   */
  public String line(long unixMillis, Gauges now) {
    StringBuilder line = new StringBuilder(HEAD);
    put(line, "at", unixMillis);
    for (Count count : Count.values()) {
      put(line, count.name().toLowerCase(Locale.ROOT), counts[count.ordinal()]);
      counts[count.ordinal()] = 0;
    }
    for (Outcome.Result result : Outcome.Result.values()) {
      put(line, "end_" + result.name().toLowerCase(Locale.ROOT), ends.getOrDefault(result, 0));
    }
    ends.clear();
    put(line, "open", now.open());
    put(line, "attempts", now.attempts());
    put(line, "clients", now.clients());
    put(line, "links", now.links());
    put(line, "opened", now.opened() - opened);
    put(line, "turned_down", now.refused() - refused);
    opened = now.opened();
    refused = now.refused();
    if (!shut.isEmpty()) {
      line.append(' ').append(SHUT).append('=').append(worst());
      shut.clear();
    }
    return line.toString();
  }

  private static void put(StringBuilder line, String name, long value) {
    line.append(' ').append(name).append('=').append(value);
  }

  /** The servers with the most of them, as ID:COUNT. */
  private String worst() {
    List<Map.Entry<Long, Integer>> all = new ArrayList<>(shut.entrySet());
    all.sort(
        Comparator.<Map.Entry<Long, Integer>>comparingInt(Map.Entry::getValue)
            .reversed()
            .thenComparing(Map.Entry::getKey));
    StringBuilder text = new StringBuilder();
    for (Map.Entry<Long, Integer> one : all.subList(0, Math.min(NAMED, all.size()))) {
      text.append(text.length() == 0 ? "" : ",");
      text.append(Long.toHexString(one.getKey())).append(':').append(one.getValue());
    }
    return text.toString();
  }
}
