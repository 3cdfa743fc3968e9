/**
 * Operators' changes to cache servers, overlaid on the server list, and the counters of a node.
 * Free of I/O, clocks and randomness: it receives events with their times and returns the changes
 * for the decision module.
 */
package beamspread.maintenance;
