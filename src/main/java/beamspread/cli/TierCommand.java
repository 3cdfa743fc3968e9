package beamspread.cli;

import picocli.CommandLine.Command;

/** What nodes know of one another. */
@Command(
    name = "tier",
    description = "Shows what the nodes of a tier know of one another.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {TierViewCommand.class, TierWatchCommand.class},
    footer = {
      "",
      "Examples:",
      "  ./beamspread tier view",
      "  ./beamspread tier -o json view",
      "  ./beamspread tier watch --for 60"
    })
final class TierCommand extends InventoryCommand {}
