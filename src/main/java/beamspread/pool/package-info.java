/**
 * Decides about connections to cache servers: how many each server gets, which one an attempt is
 * written to, and when one is opened or retired. A state machine without I/O, clock or randomness
 * of its own: {@link beamspread.pool.Pools} receives events with their times and requests actions
 * through {@link beamspread.pool.PoolActions}. Which server gets a request, and whether it is
 * retried, is decided in {@code beamspread.policy}.
 *
 * <p>Every connection is tracked from the request to open it until its end is reported, so that
 * each descriptor has an owner. Every attempt given to {@link beamspread.pool.Pools#send} is
 * written, rejected or withdrawn exactly once.
 */
package beamspread.pool;
