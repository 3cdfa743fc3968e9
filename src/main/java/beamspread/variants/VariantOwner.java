package beamspread.variants;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The owner of a fleet's table: decides its versions under the token of its lease. A family that
 * any node has split is left out until all have been silent of it for the time of rest, one that
 * operators keep split until all agents have been told that it is allowed again. A new owner merges
 * nothing before it has heard all agents, or waited for two holds: it does not know yet what nodes
 * have split.
 */
public final class VariantOwner {
  private final VariantSettings settings;
  private final long token;
  private Map<String, List<Set<String>>> rows;
  private final Map<String, Long> splitUntil = new HashMap<>();

  /** By agent, the families that operators keep split there. */
  private final Map<String, Set<String>> kept = new HashMap<>();

  private final Set<String> unheard;
  private final long waitsUntil;
  private VariantTable table;

  /**
   * An owner.
   *
   * @param token of its lease
   * @param rows the families whose classes are the same, as the operators say
   * @param agents the names of all agents
   */
  public VariantOwner(
      VariantSettings settings,
      long token,
      Map<String, List<Set<String>>> rows,
      Set<String> agents,
      long now) {
    this.settings = settings;
    this.token = token;
    this.rows = new TreeMap<>(rows);
    this.unheard = new TreeSet<>(agents);
    this.waitsUntil = now + 2 * settings.holdNanos();
  }

  /** The operators say something else now. */
  public void use(Map<String, List<Set<String>>> other) {
    rows = new TreeMap<>(other);
  }

  /** Nodes of an agent leave these families alone. */
  public void heard(long now, String agent, Set<String> families) {
    unheard.remove(agent);
    families.forEach(family -> splitUntil.put(family, now + settings.restNanos()));
  }

  /** Operators keep these families split at an agent, and no others. */
  public void kept(String agent, Set<String> families) {
    kept.put(agent, Set.copyOf(families));
  }

  /** The table as it is to be now: a new version where it has changed. */
  public VariantTable table(long now) {
    splitUntil.values().removeIf(until -> until - now <= 0);
    Map<String, List<Set<String>>> merged = new TreeMap<>(rows);
    merged.keySet().removeAll(splitUntil.keySet());
    kept.values().forEach(merged.keySet()::removeAll);
    if (!unheard.isEmpty() && waitsUntil - now > 0) {
      merged.clear();
    }
    if (table == null || !table.rows().equals(merged)) {
      long number = table == null ? 1 : table.version().number() + 1;
      table = VariantTable.of(settings.fleet(), new VariantVersion(token, number), merged);
    }
    return table;
  }
}
