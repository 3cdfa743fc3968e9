package beamspread.model;

/**
 * A server's report of its own load; values that it does not report are NaN.
 *
 * @param inFlight requests being handled
 * @param queued requests waiting
 * @param utilization share of its cores in use, 1 for all
 * @param latencyMillis its recent service time in milliseconds
 * @param requestRate requests served per second
 * @param errorRate errors per second
 * @param extra0 a value whose meaning depends on the settings
 * @param extra1 a value whose meaning depends on the settings
 */
public record LoadReport(
    double inFlight,
    double queued,
    double utilization,
    double latencyMillis,
    double requestRate,
    double errorRate,
    double extra0,
    double extra1) {}
