package beamspread.variants;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The owner of a fleet's table: decides on its versions under the fencing token of its lease. A
 * family that any node has split is left out until no node has reported it for the rest time; a
 * family that operators keep split is left out until all agents allow it again. A new owner merges
 * nothing until it has heard from all agents or waited for two hold times, because it does not know
 * yet what nodes have split.
 */
public final class VariantOwner {
  private final VariantSettings settings;
  private final long token;
  private Map<String, List<Set<String>>> configuredRows;
  private final Map<String, Long> splitUntil = new HashMap<>();

  /** By agent, the families that operators keep split there. */
  private final Map<String, Set<String>> keptSplitByAgent = new HashMap<>();

  private final Set<String> agentsNotHeard;
  private final long mergesFrom;
  private VariantTable table;

  /**
   * Creates an owner.
   *
   * @param token the fencing token of its lease
   * @param rows the sets of equivalent classes by family, as configured by the operators
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
    this.configuredRows = new TreeMap<>(rows);
    this.agentsNotHeard = new TreeSet<>(agents);
    this.mergesFrom = now + 2 * settings.holdNanos();
  }

  /** Replaces the rows configured by the operators. */
  public void setRows(Map<String, List<Set<String>>> newRows) {
    configuredRows = new TreeMap<>(newRows);
  }

  /** Records the families that the nodes of an agent have split. */
  public void recordSplitFamilies(long now, String agent, Set<String> families) {
    agentsNotHeard.remove(agent);
    families.forEach(family -> splitUntil.put(family, now + settings.restNanos()));
  }

  /** Sets the families that operators keep split at an agent; replaces the previous ones. */
  public void setKeptSplit(String agent, Set<String> families) {
    keptSplitByAgent.put(agent, Set.copyOf(families));
  }

  /** Returns the current table, with a new version if its rows have changed. */
  public VariantTable currentTable(long now) {
    splitUntil.values().removeIf(until -> until - now <= 0);
    Map<String, List<Set<String>>> merged = new TreeMap<>(configuredRows);
    merged.keySet().removeAll(splitUntil.keySet());
    keptSplitByAgent.values().forEach(merged.keySet()::removeAll);
    if (!agentsNotHeard.isEmpty() && mergesFrom - now > 0) {
      merged.clear();
    }
    if (table == null || !table.rows().equals(merged)) {
      long number = table == null ? 1 : table.version().number() + 1;
      table = VariantTable.of(settings.fleet(), new VariantVersion(token, number), merged);
    }
    return table;
  }
}
