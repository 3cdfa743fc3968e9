/**
 * How much work a process takes on that has stalled or may stall: how much earlier than its client
 * a request is given up, and how many requests may be in progress. Free of I/O and clocks.
 */
package beamspread.overload;
