/**
 * Overload protection for a process that stalls: the reserve before a request's deadline and the
 * limit on requests in progress. The package does no I/O and reads no clock.
 */
package beamspread.overload;
