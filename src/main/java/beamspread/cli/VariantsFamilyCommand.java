package beamspread.cli;

import beamspread.fleet.AgentCallException;
import beamspread.fleet.AgentClient;
import beamspread.fleet.Fleet;
import beamspread.fleet.Inventory;
import beamspread.fleet.Selection;
import beamspread.fleet.api.Api;
import java.util.ArrayList;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Something that all agents are told of a family. */
abstract class VariantsFamilyCommand extends VariantsAction {
  @Parameters(paramLabel = "FAMILY", description = "the prefix of its rule")
  private String family;

  @Option(names = "--fleet", defaultValue = "main", description = "(default: main)")
  private String fleet;

  /** Tells one agent. */
  abstract Api.VariantView tell(AgentClient agent, String fleet, String family)
      throws AgentCallException;

  /** What is said of it once all agents know. */
  abstract String told(String family);

  @Override
  public Integer call() throws Exception {
    try (Fleet agents = new Fleet(Inventory.read(inventory()))) {
      Fleet.Answers<Api.VariantView> views =
          agents.ask(Selection.all(), client -> tell(client, fleet, family));
      views.failures().values().forEach(failure -> err().println(failure.getMessage()));
      if (json()) {
        print(new ArrayList<>(views.answers().values()));
      } else if (views.failures().isEmpty()) {
        out().println(told(family));
      }
      if (views.answers().values().stream().noneMatch(this::concerns)) {
        err().println("no table in force has a family " + family);
      }
      out().flush();
      err().flush();
      return views.failures().isEmpty() ? 0 : UNKNOWN;
    }
  }

  private boolean concerns(Api.VariantView view) {
    return VariantsStatusCommand.families(view).containsKey(family);
  }
}
