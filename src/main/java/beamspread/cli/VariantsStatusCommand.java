package beamspread.cli;

import beamspread.fleet.Fleet;
import beamspread.fleet.Inventory;
import beamspread.fleet.Selection;
import beamspread.fleet.api.Api;
import beamspread.variants.VariantException;
import beamspread.variants.VariantTable;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** What agents and nodes hold. */
@Command(
    name = "status",
    description = "Shows the table at each agent, and which version each node holds.",
    mixinStandardHelpOptions = true)
final class VariantsStatusCommand extends VariantsAction {
  @Option(names = "--fleet", defaultValue = "main", description = "(default: main)")
  private String fleet;

  @Override
  public Integer call() throws Exception {
    try (Fleet agents = new Fleet(Inventory.read(inventory()))) {
      Fleet.Answers<Api.VariantView> views =
          agents.ask(Selection.all(), client -> client.variants(fleet));
      List<Api.VariantView> all = new ArrayList<>(views.answers().values());
      if (json()) {
        print(all);
      } else {
        table(all);
      }
      views.failures().values().forEach(failure -> err().println(failure.getMessage()));
      out().flush();
      err().flush();
      if (!views.failures().isEmpty()) {
        return UNKNOWN;
      }
      return all.stream().map(Api.VariantView::version).distinct().count() > 1 ? 1 : 0;
    }
  }

  private void table(List<Api.VariantView> all) {
    Table table = new Table("AGENT", "TABLE", "HOLDS", "FAMILIES", "SPLIT", "KEPT", "NODES");
    for (Api.VariantView view : all) {
      table.row(
          view.agent(),
          view.version(),
          view.holdsMs() / 1000.0 + " s",
          families(view).size(),
          view.split(),
          view.kept(),
          view.nodes().stream().map(node -> node.node() + " " + node.version()).toList());
    }
    table.print(out());
    if (!all.isEmpty()) {
      Table rows = new Table("FAMILY", "THE SAME");
      families(all.get(0)).forEach(rows::row);
      rows.print(out());
    }
  }

  /** What an agent's table says of each family. */
  static Map<String, Object> families(Api.VariantView view) {
    Map<String, Object> families = new LinkedHashMap<>();
    if (view.text() != null) {
      try {
        families.putAll(VariantTable.parse(view.text(), view.digest()).rows());
      } catch (VariantException e) {
        families.put("damaged", e.getMessage());
      }
    }
    return families;
  }
}
