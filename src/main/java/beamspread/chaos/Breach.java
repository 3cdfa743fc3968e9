package beamspread.chaos;

import java.util.Map;
import java.util.Set;

/**
 * Something that must never be, and was.
 *
 * @param invariant what was broken
 * @param fromNanos when what led to it began
 * @param atNanos when it showed
 * @param involved who had a part in it
 * @param facts what tells the events that belong to it from others: those that have one of these
 *     facts otherwise do not belong to it
 */
public record Breach(
    String invariant,
    String says,
    long fromNanos,
    long atNanos,
    Set<String> involved,
    Map<String, Object> facts) {

  /** Both collections are copied. */
  public Breach {
    involved = Set.copyOf(involved);
    facts = Map.copyOf(facts);
  }
}
