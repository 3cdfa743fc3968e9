package beamspread.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Faults between real processes. */
@Command(
    name = "chaos",
    description = "Plays scenes of real processes of this program under faults, and judges them.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {ChaosRunCommand.class, ChaosCheckCommand.class})
final class ChaosCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
  }
}
