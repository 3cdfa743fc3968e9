package beamspread.agent;

import beamspread.fleet.api.Kind;

/**
 * The part of an operation that concerns one instance.
 *
 * @param attempt which try at this instance under this operation, from 1
 */
record Step(String operation, String instance, int attempt, Kind kind) {}
