package beamspread.variants;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The table at an agent, between its owner and the nodes. It counts the time for which a table
 * holds from a reading of its own clock that the owner took before it offered the table, so that an
 * offer which comes late holds for no longer. Not for more than one thread.
 */
public final class VariantDesk {
  /** Nodes whose words are kept. */
  private static final int MOST_NODES = 4096;

  private final HeldTable held;
  private final Map<String, Word> words = new HashMap<>();

  /**
   * What a node said last.
   *
   * @param version that it holds
   * @param split the families that it leaves alone
   * @param at when it said so
   */
  public record Word(VariantVersion version, Set<String> split, long at) {
    /** The set is copied. */
    public Word {
      split = Set.copyOf(split);
    }
  }

  /** A desk for tables of this fleet. */
  public VariantDesk(String fleet) {
    held = new HeldTable(fleet);
  }

  /**
   * The owner offers a table.
   *
   * @param readAt this agent's clock as the owner read it before
   * @param holdNanos how long the table holds from then on
   */
  public HeldTable.Taken offer(long now, VariantTable table, long readAt, long holdNanos) {
    return held.take(now, table, readAt + holdNanos);
  }

  /** The owner prolongs the table of this version, which it knows to be held here. */
  public HeldTable.Taken renew(long now, VariantVersion version, long readAt, long holdNanos) {
    return held.renew(now, version, readAt + holdNanos);
  }

  /** A node asks for the table, and says what it holds and leaves alone. */
  public void heard(long now, String node, VariantVersion version, Set<String> split) {
    if (words.size() < MOST_NODES || words.containsKey(node)) {
      words.put(node, new Word(version, split, now));
    }
  }

  /** The families that a node has said it leaves alone, within this time. */
  public Set<String> split(long now, long withinNanos) {
    Set<String> split = new TreeSet<>();
    words.values().removeIf(word -> now - word.at() > withinNanos);
    words.values().forEach(word -> split.addAll(word.split()));
    return split;
  }

  /** What the nodes said, by name. */
  public Map<String, Word> words() {
    return Map.copyOf(words);
  }

  /** What is held here. */
  public HeldTable held() {
    return held;
  }
}
