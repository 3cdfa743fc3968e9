/**
 * The decisions about connections to cache servers: how many each server gets, which one an attempt
 * is written to, when one more is opened and when one is given up. A state machine without I/O,
 * clock or randomness of its own: {@link beamspread.pool.Pools} is told what happens and when, and
 * says by {@link beamspread.pool.PoolActions} what is to be done. Which server gets a request, and
 * whether it is tried again, is not decided here but in {@code beamspread.policy}.
 *
 * <p>Every connection is a {@code Link} from the moment it is asked for until its end is told, so
 * that each descriptor has an owner; every attempt given to {@link beamspread.pool.Pools#send} is
 * written, found unreachable, or taken back, exactly once.
 */
package beamspread.pool;
