package beamspread.cli;

import beamspread.fleet.AgentCallException;
import beamspread.fleet.AgentClient;
import beamspread.fleet.api.Api;
import picocli.CommandLine.Command;

/** Keeps a family split. */
@Command(
    name = "split",
    description =
        "Has a family's keys left alone on all nodes, within hold_s and two thirds of it, until"
            + " it is allowed again. One agent that knows is enough; exit code 3 names those that"
            + " do not.",
    mixinStandardHelpOptions = true)
final class VariantsSplitCommand extends VariantsFamilyCommand {
  @Override
  Api.VariantView tell(AgentClient agent, String fleet, String family) throws AgentCallException {
    return agent.split(fleet, family);
  }

  @Override
  String told(String family) {
    return family + " is kept split";
  }
}
