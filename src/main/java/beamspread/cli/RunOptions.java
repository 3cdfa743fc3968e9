package beamspread.cli;

import beamspread.fleet.RolloutOptions;
import beamspread.fleet.api.Kind;
import picocli.CommandLine.Option;

/** How a rollout goes about it. */
final class RunOptions {
  @Option(names = "--batch", paramLabel = "N", description = "most instances begun together")
  Integer batch;

  @Option(
      names = "--max-unavailable",
      paramLabel = "N",
      description =
          "most instances unavailable at a time (default: all for a reload and a start,"
              + " a quarter otherwise)")
  Integer maxUnavailable;

  @Option(
      names = "--max-per-zone",
      paramLabel = "N",
      description = "most instances unavailable at a time in one zone")
  Integer maxPerZone;

  @Option(names = "--pause", paramLabel = "SECONDS", description = "between batches (default: 0)")
  double pause;

  @Option(
      names = "--stop-after",
      paramLabel = "N",
      description = "begin nothing more after so many failures, 0 for never (default: 1)")
  Integer stopAfter;

  RolloutOptions options(Kind kind, int targets, FleetAction action) {
    RolloutOptions usual = RolloutOptions.usual(kind, targets);
    int most = positive(maxUnavailable, usual.maxUnavailable(), "--max-unavailable", action);
    if (pause < 0 || !(pause < 86_400)) {
      throw action.usage("--pause must be 0 to 86400 seconds");
    }
    if (stopAfter != null && stopAfter < 0) {
      throw action.usage("--stop-after must not be negative");
    }
    return new RolloutOptions(
        positive(batch, most, "--batch", action),
        most,
        maxPerZone == null ? 0 : positive(maxPerZone, 1, "--max-per-zone", action),
        (long) (pause * 1000),
        stopAfter == null ? usual.stopAfter() : stopAfter);
  }

  private static int positive(Integer value, int absent, String name, FleetAction action) {
    if (value != null && value < 1) {
      throw action.usage(name + " must be at least 1");
    }
    return value == null ? absent : value;
  }
}
