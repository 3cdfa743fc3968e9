package beamspread.fleet;

import beamspread.fleet.api.Kind;
import beamspread.fleet.api.Outcome;
import java.util.List;

/**
 * What came of an operation: exactly one result for each instance that was meant.
 *
 * @param unreachable agents that gave no answer when it was asked what they run
 */
public record Report(
    String operation,
    Kind kind,
    String by,
    long started,
    long tookMs,
    List<Result> results,
    List<Unreachable> unreachable) {

  /** 0 if all went well, 1 if some failed or were refused, 3 if of some nobody knows. */
  public int exitCode() {
    if (count(Outcome.UNKNOWN) > 0 || !unreachable.isEmpty()) {
      return 3;
    }
    return count(Outcome.FAILED) + count(Outcome.REFUSED) > 0 ? 1 : 0;
  }

  /** The same, with the agents that were left out. */
  public Report without(List<Unreachable> away) {
    return new Report(operation, kind, by, started, tookMs, results, away);
  }

  /** How many ended so. */
  public long count(Outcome outcome) {
    return results.stream().filter(result -> result.outcome() == outcome).count();
  }
}
