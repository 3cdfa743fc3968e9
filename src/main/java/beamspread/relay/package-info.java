/**
 * Decides about values too large to be held whole, which are relayed while they are received: when
 * reading from a cache server pauses and resumes, when a client that reads too slowly is cut, and
 * what becomes of the rest of an unwanted value. A state machine without I/O or clock of its own:
 * {@link beamspread.relay.Relays} manages the shared memory, {@link beamspread.relay.Relay} is one
 * value, {@link beamspread.relay.RelayActions} are the actions to carry out. Which server is asked,
 * and whether it is retried, is decided in {@code beamspread.policy}.
 */
package beamspread.relay;
