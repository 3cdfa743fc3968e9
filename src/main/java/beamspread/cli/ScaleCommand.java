package beamspread.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** What a fleet costs by its size. */
@Command(
    name = "scale",
    description = "Measures what nodes, agents and commands cost by the size of the fleet.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {ScaleRunCommand.class})
final class ScaleCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
  }
}
