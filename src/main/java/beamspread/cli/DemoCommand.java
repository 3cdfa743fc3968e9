package beamspread.cli;

import picocli.CommandLine.Command;

/** Placeholder, replaced below. */
@Command(name = "demo", hidden = true)
final class DemoCommand {}
