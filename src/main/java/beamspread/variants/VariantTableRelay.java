package beamspread.variants;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * An agent's copy of the variant table, which it passes from the table's owner to the nodes. A
 * table's validity counts from a reading of the agent's clock that the owner took before it offered
 * the table, so that a delayed offer is not valid for longer. Not thread-safe.
 */
public final class VariantTableRelay {
  /** Maximum number of nodes whose reports are kept. */
  private static final int MAX_NODES = 4096;

  private final HeldTable held;
  private final Map<String, NodeReport> nodeReports = new HashMap<>();

  /**
   * The last report of a node.
   *
   * @param version the table version that the node holds
   * @param splitFamilies the families that the node keeps split
   * @param receivedAtNanos when the report was received
   */
  public record NodeReport(
      VariantVersion version, Set<String> splitFamilies, long receivedAtNanos) {
    /** Copies the set. */
    public NodeReport {
      splitFamilies = Set.copyOf(splitFamilies);
    }
  }

  /** Creates a relay for tables of this fleet. */
  public VariantTableRelay(String fleet) {
    held = new HeldTable(fleet);
  }

  /**
   * Accepts a table offered by the owner.
   *
   * @param clockReadAt the agent's clock as the owner read it before the offer
   * @param holdNanos for how long the table is valid from then on
   */
  public HeldTable.OfferResult offer(
      long now, VariantTable table, long clockReadAt, long holdNanos) {
    return held.offer(now, table, clockReadAt + holdNanos);
  }

  /** Renews the table of this version, which the owner knows to be held here. */
  public HeldTable.OfferResult renew(
      long now, VariantVersion version, long clockReadAt, long holdNanos) {
    return held.renew(now, version, clockReadAt + holdNanos);
  }

  /** Records a node's report, which comes with its request for the table. */
  public void recordNodeReport(
      long now, String node, VariantVersion version, Set<String> splitFamilies) {
    if (nodeReports.size() < MAX_NODES || nodeReports.containsKey(node)) {
      nodeReports.put(node, new NodeReport(version, splitFamilies, now));
    }
  }

  /** Returns the families that any node has reported as split within this time. */
  public Set<String> splitFamilies(long now, long maxAgeNanos) {
    Set<String> families = new TreeSet<>();
    nodeReports.values().removeIf(report -> now - report.receivedAtNanos() > maxAgeNanos);
    nodeReports.values().forEach(report -> families.addAll(report.splitFamilies()));
    return families;
  }

  /** Returns the last reports of the nodes, by node name. */
  public Map<String, NodeReport> nodeReports() {
    return Map.copyOf(nodeReports);
  }

  /** Returns the table held here, with its validity. */
  public HeldTable held() {
    return held;
  }
}
