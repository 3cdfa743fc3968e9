package beamspread.chaos;

import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Something that befalls links or processes for a time.
 *
 * @param atNanos when it begins, from the run's beginning
 * @param forNanos how long it lasts; for a kill, how long until the process is started again
 * @param from the senders, or the processes that it befalls
 * @param to the receivers; empty for what befalls processes
 * @param state what befalls the links; clear for what befalls processes
 * @param fresh whether a killed process starts from nothing, else with its old state
 */
public record Fault(
    Kind kind,
    long atNanos,
    long forNanos,
    List<String> from,
    List<String> to,
    LinkState state,
    boolean fresh) {

  /** What can befall. */
  public enum Kind {
    /** Nothing gets through, in neither direction. */
    CUT(true, true),
    /** Nothing gets through from the one to the other. */
    ONE_WAY(true, false),
    /** The two groups don't hear one another; whoever is in neither hears both. */
    BRIDGE(true, true),
    /** Cut and whole in turn. */
    FLAP(true, true),
    /** Datagrams are lost; streams stand until the system has sent again. */
    LOSS(true, true),
    /** All is under way for longer. */
    DELAY(true, true),
    /** Datagrams arrive twice. */
    DUPLICATE(true, true),
    /** Datagrams are overtaken. */
    REORDER(true, true),
    /** Datagrams arrive cut short. */
    TRUNCATE(true, true),
    /** The link carries little. */
    SLOW(true, true),
    /** All open connections are reset; new ones come up. */
    RESET(true, true),
    /** A process stands still (SIGSTOP) and goes on (SIGCONT). */
    PAUSE(false, false),
    /** A process is killed (SIGKILL) and started again. */
    KILL(false, false),
    /** A process is told to end (SIGTERM) and started again. */
    TERM(false, false),
    /** A new process is started beside the old one, which is told to end when this is over. */
    UPGRADE(false, false);

    private final boolean links;
    private final boolean bothWays;

    Kind(boolean links, boolean bothWays) {
      this.links = links;
      this.bothWays = bothWays;
    }

    /** Whether it befalls links, else processes. */
    public boolean links() {
      return links;
    }

    /** Whether it befalls the answers' way as well. */
    public boolean bothWays() {
      return bothWays;
    }

    /** Its name in files and reports. */
    public String word() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The kind of this name; null if there is none. */
    public static Kind of(String word) {
      for (Kind one : values()) {
        if (one.word().equals(word)) {
          return one;
        }
      }
      return null;
    }
  }

  /** Both lists are copied. */
  public Fault {
    from = List.copyOf(from);
    to = List.copyOf(to);
  }

  /** When it ends, from the run's beginning. */
  public long endNanos() {
    return atNanos + forNanos;
  }

  /** Whether it befalls what this one sends to that one. */
  public boolean befalls(String sender, String receiver) {
    return kind.links()
        && (has(from, sender) && has(to, receiver)
            || kind.bothWays() && has(from, receiver) && has(to, sender));
  }

  /** Whether it befalls this process. */
  public boolean befalls(String process) {
    return !kind.links() && has(from, process);
  }

  /** Whether it concerns one of these, as a link's end or as a process. */
  public boolean concerns(Set<String> names) {
    return names.stream().anyMatch(name -> has(from, name) || has(to, name));
  }

  private static boolean has(List<String> patterns, String name) {
    return patterns.stream().anyMatch(pattern -> matches(pattern, name));
  }

  /** Whether a name is meant by a pattern, in which a star stands for anything. */
  public static boolean matches(String pattern, String name) {
    int star = pattern.indexOf('*');
    if (star < 0) {
      return pattern.equals(name);
    }
    String before = pattern.substring(0, star);
    String after = pattern.substring(star + 1);
    return name.startsWith(before)
        && name.endsWith(after)
        && name.length() >= before.length() + after.length();
  }

  /** In words, as reports have it. */
  public String says() {
    String whom = String.join(",", from);
    if (kind.links()) {
      whom += (kind.bothWays() ? " <> " : " > ") + String.join(",", to);
    }
    String how =
        switch (kind) {
          case LOSS -> percent(state.loss());
          case DUPLICATE -> percent(state.duplicate());
          case REORDER -> percent(state.reorder());
          case TRUNCATE -> percent(state.truncate());
          case DELAY -> " " + state.delayNanos() / 1_000_000 + " ms";
          case SLOW -> " " + state.bytesPerSecond() + " B/s";
          case KILL, TERM -> fresh ? " from nothing" : "";
          default -> "";
        };
    return "%s %s%s for %.2f s".formatted(kind.word(), whom, how, forNanos / 1e9);
  }

  private static String percent(double share) {
    return " " + Math.round(share * 100) + " %";
  }
}
