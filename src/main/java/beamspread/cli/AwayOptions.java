package beamspread.cli;

import picocli.CommandLine.Option;

/** What becomes of an operation while agents are away. */
final class AwayOptions {
  @Option(
      names = "--allow-unreachable",
      description = "go on without the agents that give no answer (exit code 3 all the same)")
  boolean allow;
}
