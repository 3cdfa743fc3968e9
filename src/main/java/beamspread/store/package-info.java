/**
 * A store of record: confirms a write only once it is durable, and carries each out at most once.
 * Decisions ({@link beamspread.store.WriteDesk}, {@link beamspread.store.IdWindow}) have no I/O and
 * no clock.
 */
package beamspread.store;
