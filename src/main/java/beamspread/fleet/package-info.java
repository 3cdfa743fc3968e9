/**
 * The operators' side: which agents there are, which instances are meant, in which batches
 * something is done to them, and what came of it. {@link beamspread.fleet.Rollout} decides, free of
 * I/O and with the time passed in; {@link beamspread.fleet.RolloutRunner} carries it out over
 * {@link beamspread.fleet.AgentClient}s. What agents and operators say to each other is in {@code
 * api}.
 */
package beamspread.fleet;
