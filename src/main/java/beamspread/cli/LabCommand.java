package beamspread.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The model of the fleet. */
@Command(
    name = "lab",
    description = "Compares before anything is changed: a model of the fleet, and how true it is.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      LabRunCommand.class,
      LabSweepCommand.class,
      LabReportCommand.class,
      LabReplayCommand.class
    })
final class LabCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
  }
}
