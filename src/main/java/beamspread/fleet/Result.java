package beamspread.fleet;

import beamspread.fleet.api.Outcome;

/**
 * What came of an operation at one instance.
 *
 * @param tookMs from its beginning to its end as the agent saw it; 0 if it never began
 * @param atMs when that was known, Unix milliseconds
 */
public record Result(
    String instance,
    String agent,
    String zone,
    Outcome outcome,
    String reason,
    long tookMs,
    long atMs) {

  static Result of(Target target, Outcome outcome, String reason, long tookMs, long atMs) {
    return new Result(
        target.instance(), target.agent(), target.zone(), outcome, reason, tookMs, atMs);
  }
}
