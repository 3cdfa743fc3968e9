package beamspread.lease;

import java.util.Map;
import java.util.TreeMap;

/**
 * The highest token seen of each name, by who carries out work for owners. It never goes down. Not
 * for more than one thread.
 */
public final class FencingTokens {
  /** Names that are kept. More are refused: to forget one would let its old owners in. */
  public static final int MOST_NAMES = 4096;

  private final Map<String, Long> highest = new TreeMap<>();

  /**
   * Those that were seen before.
   *
   * @throws IllegalArgumentException if a name or an epoch can't be one
   */
  public FencingTokens(Map<String, Long> seen) {
    seen.forEach((name, epoch) -> highest.put(name, new FencingToken(name, epoch).epoch()));
  }

  /** Refuses a token that is lower than one that has been seen. */
  public void check(FencingToken token) throws StaleTokenException {
    long seen = highest.getOrDefault(token.name(), 0L);
    if (token.epoch() < seen) {
      throw new StaleTokenException(token, seen);
    }
  }

  /** Whether a token is higher than all that have been seen of its name. */
  public boolean isNew(FencingToken token) {
    return token.epoch() > highest.getOrDefault(token.name(), 0L);
  }

  /** Whether one more name can be kept, or this one is. */
  public boolean hasRoomFor(FencingToken token) {
    return highest.size() < MOST_NAMES || highest.containsKey(token.name());
  }

  /** A token has been seen. */
  public void saw(FencingToken token) {
    highest.merge(token.name(), token.epoch(), Math::max);
  }

  /** The highest epoch of each name. */
  public Map<String, Long> all() {
    return Map.copyOf(highest);
  }
}
