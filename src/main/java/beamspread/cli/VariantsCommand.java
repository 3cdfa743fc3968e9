package beamspread.cli;

import picocli.CommandLine.Command;

/** Variant keys of a fleet: the table's owner, and what nodes make of it. */
@Command(
    name = "variants",
    description = "One stored copy for device classes whose responses are the same.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      VariantsRunCommand.class,
      VariantsStatusCommand.class,
      VariantsExplainCommand.class,
      VariantsSplitCommand.class,
      VariantsAllowCommand.class,
      VariantsCheckCommand.class
    },
    footer = {
      "",
      "Exit codes: 0 done, 1 agents differ, or a key stays as it is, 2 wrong usage or file, 3 of some",
      "agents nobody knows, or the store of leases cannot be used.",
      "",
      "Examples:",
      "  ./beamspread variants check deploy/variants.json",
      "  ./beamspread variants run deploy/variants.json",
      "  ./beamspread variants split page/",
      "  ./beamspread variants explain page/phone/17 --class read --file deploy/variants.json"
    })
final class VariantsCommand extends InventoryCommand {}
