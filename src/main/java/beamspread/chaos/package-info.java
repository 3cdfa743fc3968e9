/**
 * Faults between real processes: seeded schedules of what befalls links and processes, relays that
 * carry it out, one history of what was done, said and really so, invariants over it and the
 * shortest story of a breach.
 *
 * <p>{@code Schedule}, {@code Network}, {@code LinkPlan}, {@code History}, the invariants and
 * {@code Story} decide, without I/O and clocks; {@code UdpRelay}, {@code TcpRelay} and {@code
 * Program} are thin around them. Uses {@code standin}, {@code fleet.api} and {@code fleet.config}.
 */
package beamspread.chaos;
