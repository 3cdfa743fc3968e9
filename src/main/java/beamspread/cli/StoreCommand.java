package beamspread.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The store of record. */
@Command(
    name = "store",
    description = "A store behind the cache servers that confirms only what is durable.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {StoreServeCommand.class, StoreCheckCommand.class, StoreBackupCommand.class})
final class StoreCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
  }
}
