package beamspread.fleet;

import beamspread.fleet.api.Kind;
import beamspread.fleet.api.Outcome;
import java.util.List;

/** What came of an operation: exactly one result for each instance that was meant. */
public record Report(
    String operation, Kind kind, String by, long started, long tookMs, List<Result> results) {

  /** 0 if all went well, 1 if some failed or were refused, 3 if of some nobody knows. */
  public int exitCode() {
    if (count(Outcome.UNKNOWN) > 0) {
      return 3;
    }
    return count(Outcome.FAILED) + count(Outcome.REFUSED) > 0 ? 1 : 0;
  }

  /** How many ended so. */
  public long count(Outcome outcome) {
    return results.stream().filter(result -> result.outcome() == outcome).count();
  }
}
