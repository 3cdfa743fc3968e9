/** What an agent and its callers send each other: plain records, as JSON in snake case. */
package beamspread.fleet.api;
