package beamspread.cli;

import picocli.CommandLine.Command;

/** Placeholder, replaced below. */
@Command(name = "measure", hidden = true)
final class MeasureCommand {}
