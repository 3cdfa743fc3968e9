package beamspread.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Measurements, as docs/measurements has them. */
@Command(
    name = "measure",
    description = "Repeats the measurements of docs/measurements.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      MeasureReload.class,
      MeasureStart.class,
      MeasureCloses.class,
      MeasurePool.class,
      MeasureValues.class,
      MeasureProfile.class,
      MeasureLab.class,
      MeasureStore.class,
      MeasureTier.class,
      MeasureLease.class,
      MeasureVariants.class,
      MeasureVariantTable.class
    })
final class MeasureCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
  }
}
