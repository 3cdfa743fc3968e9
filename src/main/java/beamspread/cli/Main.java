package beamspread.cli;

import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The root command. */
@Command(
    name = "beamspread",
    description = "Runs and steers a fleet of beamspread nodes.",
    mixinStandardHelpOptions = true,
    version = "beamspread 0.1.0",
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      FleetCommand.class,
      LeaseCommand.class,
      VariantsCommand.class,
      AgentCommand.class,
      DemoCommand.class,
      LabCommand.class,
      StoreCommand.class,
      TallyCommand.class,
      TierCommand.class,
      ChaosCommand.class,
      ScaleCommand.class,
      MeasureCommand.class,
      AutoComplete.GenerateCompletion.class
    },
    footer = {
      "",
      "Examples:",
      "  ./beamspread demo                        a whole fleet on this machine, to watch",
      "  ./beamspread agent --config deploy/agent.toml",
      "  ./beamspread fleet --inventory fleet.toml list",
      "  source <(./beamspread generate-completion)",
      "",
      "A node itself is started with 'java -jar target/beamspread.jar serve'."
    })
public final class Main implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** Runs the command line; the process ends with its exit code. */
  public static void main(String[] args) {
    System.exit(line().execute(args));
  }

  /** The command line, ready to be run. */
  static CommandLine line() {
    return new CommandLine(new Main())
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setUsageHelpAutoWidth(true)
        .setExecutionExceptionHandler(
            (e, line, parsed) -> {
              line.getErr().println(line.getCommandName() + ": " + Trouble.text(e));
              return Trouble.code(e);
            });
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
  }
}
