package beamspread.cli;

import beamspread.fleet.AgentCallException;
import beamspread.fleet.AgentClient;
import beamspread.fleet.api.Api;
import picocli.CommandLine.Command;

/** Allows a family again. */
@Command(
    name = "allow",
    description =
        "Allows a family that was split by hand to be merged again. It stays split while an agent"
            + " that could not be told keeps it so (exit code 3).",
    mixinStandardHelpOptions = true)
final class VariantsAllowCommand extends VariantsFamilyCommand {
  @Override
  Api.VariantView tell(AgentClient agent, String fleet, String family) throws AgentCallException {
    return agent.allow(fleet, family);
  }

  @Override
  String told(String family) {
    return family + " may be merged again";
  }
}
