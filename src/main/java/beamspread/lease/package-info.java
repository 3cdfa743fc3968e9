/**
 * Leases with fencing tokens: one owner at a time for work on behalf of the fleet, and an old owner
 * that goes on late does no harm. Free of I/O and clocks; the store is {@link
 * beamspread.lease.LeaseStore}, implemented by the record.
 */
package beamspread.lease;
