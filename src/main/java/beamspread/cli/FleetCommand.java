package beamspread.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** All that is done to a fleet; holds the options that its subcommands share. */
@Command(
    name = "fleet",
    description = "Sees and steers the instances of all agents.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      ListCommand.class,
      StatusCommand.class,
      QueryCommand.class,
      LogCommand.class,
      WatchCommand.class,
      ActionCommand.Start.class,
      ActionCommand.Stop.class,
      ActionCommand.Restart.class,
      ActionCommand.Reload.class,
      ResumeCommand.class,
      HistoryCommand.class,
      ShowCommand.class
    },
    footer = {
      "",
      "Exit codes: 0 all succeeded, 1 some failed or were refused, 2 wrong usage or inventory,",
      "3 of some nobody knows.",
      "",
      "Examples:",
      "  ./beamspread fleet list",
      "  ./beamspread fleet reload --all",
      "  ./beamspread fleet restart 'n*' --zone budapest --max-unavailable 2 --pause 5",
      "  ./beamspread fleet -o json show reload-20261201-101500-1f2e3d"
    })
final class FleetCommand implements Runnable {
  /** How results are written. */
  enum Output {
    table,
    json
  }

  @Option(
      names = {"-i", "--inventory"},
      paramLabel = "FILE",
      scope = CommandLine.ScopeType.INHERIT,
      defaultValue = "${env:BEAMSPREAD_INVENTORY:-deploy/fleet.toml}",
      description = "the agents (default: $BEAMSPREAD_INVENTORY or deploy/fleet.toml)")
  java.nio.file.Path inventory;

  @Option(
      names = {"-o", "--output"},
      paramLabel = "FORM",
      scope = CommandLine.ScopeType.INHERIT,
      defaultValue = "table",
      description = "table or json (default: table)")
  Output output;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
  }
}
