/**
 * The durable record of what was done to a fleet: operations, their steps, leases, and which
 * process an instance runs as. A {@link beamspread.record.FleetRecord} is written before a thing is
 * begun and again once it has ended, so that whoever comes back after a crash knows what may have
 * happened. {@link beamspread.record.JdbcRecord} keeps it in SQLite, the embedded default, or in
 * PostgreSQL; both run the same statements.
 *
 * <p>Every {@link beamspread.record.RecordChange} sets rows to stated values, so that writing one
 * twice is the same as writing it once. That is what makes a commit whose fate is unknown harmless:
 * it is written again.
 */
package beamspread.record;
