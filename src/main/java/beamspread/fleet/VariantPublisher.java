package beamspread.fleet;

import beamspread.fleet.api.Api;
import beamspread.variants.VariantFile;
import beamspread.variants.VariantOwner;
import beamspread.variants.VariantSettings;
import beamspread.variants.VariantTable;
import java.util.Set;
import java.util.TreeMap;

/**
 * Publishes a fleet's table of variants for as long as a lease is held: reads each agent's clock
 * and what its nodes leave alone, decides the table, and offers it. An agent whose clock could not
 * be read is offered nothing in that round: its table ends by itself.
 */
public final class VariantPublisher {
  private final Fleet fleet;
  private final WorkLease lease;
  private final VariantOwner owner;
  private VariantSettings settings;

  /** A publisher under a lease whose token is in each version. */
  public VariantPublisher(Fleet fleet, WorkLease lease, VariantFile file) {
    this.fleet = fleet;
    this.lease = lease;
    this.settings = file.settings();
    this.owner =
        new VariantOwner(
            settings,
            lease.token().epoch(),
            file.rows(),
            fleet.clients().keySet(),
            System.nanoTime());
    fleet.clients().values().forEach(client -> client.fence(lease.token()));
  }

  /** The operators say something else now; the fleet stays what it is. */
  public void use(VariantFile file) {
    settings = file.settings();
    owner.setRows(file.rows());
  }

  /**
   * What came of a round.
   *
   * @param table that was offered
   * @param taken how many agents took it
   * @param failures by agent, why it did not
   */
  public record Round(VariantTable table, int taken, TreeMap<String, String> failures) {}

  /** Reads all agents and offers them the table. */
  public Round round() {
    TreeMap<String, String> failures = new TreeMap<>();
    Fleet.Answers<Api.VariantView> views =
        fleet.ask(Selection.all(), client -> client.variantsBrief(settings.fleet()));
    views.failures().forEach((agent, why) -> failures.put(agent, why.getMessage()));
    views.answers().forEach(this::heard);
    VariantTable table = owner.currentTable(System.nanoTime());
    Fleet.Answers<Boolean> taken =
        fleet.ask(
            Selection.all(), client -> offer(client, table, views.answers().get(client.name())));
    taken.failures().forEach((agent, why) -> failures.put(agent, why.getMessage()));
    long count = taken.answers().values().stream().filter(one -> one).count();
    return new Round(table, (int) count, failures);
  }

  private void heard(String agent, Api.VariantView view) {
    owner.recordSplitFamilies(System.nanoTime(), agent, Set.copyOf(view.split()));
    owner.setKeptSplit(agent, Set.copyOf(view.kept()));
  }

  private boolean offer(AgentClient client, VariantTable table, Api.VariantView view)
      throws AgentCallException {
    if (view == null || !lease.held()) {
      return false;
    }
    String digest = table.digest();
    String text = digest.equals(view.digest()) ? null : table.text();
    long holdMillis = settings.holdNanos() / 1_000_000;
    client.offer(settings.fleet(), new Api.VariantOffer(view.clock(), holdMillis, digest, text));
    return true;
  }
}
