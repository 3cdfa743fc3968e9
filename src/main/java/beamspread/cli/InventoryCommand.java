package beamspread.cli;

import java.nio.file.Path;
import picocli.CommandLine;
import picocli.CommandLine.Option;

/** A command whose subcommands ask the agents of an inventory; holds the options they share. */
abstract class InventoryCommand implements Runnable {
  @Option(
      names = {"-i", "--inventory"},
      paramLabel = "FILE",
      scope = CommandLine.ScopeType.INHERIT,
      defaultValue = "${env:BEAMSPREAD_INVENTORY:-deploy/fleet.toml}",
      description = "the agents (default: $BEAMSPREAD_INVENTORY or deploy/fleet.toml)")
  Path inventory;

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
