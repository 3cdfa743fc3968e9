package beamspread.cli;

import picocli.CommandLine.Command;

/** All that is done to a fleet. */
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
final class FleetCommand extends InventoryCommand {}
