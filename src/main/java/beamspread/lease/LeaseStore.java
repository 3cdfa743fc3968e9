package beamspread.lease;

import java.util.List;
import java.util.Optional;

/**
 * Where leases are kept, by compare-and-set. Whether one has expired is judged by the store's clock
 * alone; how long a holder may work, by the holder's own. Safe for use by several threads.
 */
public interface LeaseStore extends AutoCloseable {
  /** Longest id and description of a holder, in bytes of UTF-8. */
  int LONGEST_HOLDER = 256;

  /**
   * Takes a lease that nobody holds, whose time is over, or that this holder has already: then its
   * epoch stays, so that an answer that was lost does no harm.
   *
   * @param holder an id that nobody else uses, and that is not used again after a release: the
   *     release may arrive late
   * @param described who that is, for people
   * @param takeOver whether to take it from whoever holds it
   * @throws LeaseHeldException if somebody else holds it
   */
  Lease acquire(String name, String holder, String described, long durationMillis, boolean takeOver)
      throws LeaseHeldException, LeaseStoreException;

  /** Prolongs a lease from now on; false if it has expired or passed to somebody else. */
  boolean renew(FencingToken token, String holder, long durationMillis) throws LeaseStoreException;

  /**
   * Gives a lease back; false if it is no longer this holder's. Its epoch is never used again.
   *
   * @param holder the id under which it was taken
   */
  boolean release(FencingToken token, String holder) throws LeaseStoreException;

  /**
   * Sets the epoch of a lease to this one at least, and takes it from whoever holds it. For a store
   * that was put back to an older state: tokens that were given since must not be given again.
   */
  Lease raise(String name, long epoch) throws LeaseStoreException;

  /** A lease; empty if there never was one of this name. */
  Optional<Lease> find(String name) throws LeaseStoreException;

  /** All leases by name. */
  List<Lease> all() throws LeaseStoreException;

  @Override
  void close();
}
