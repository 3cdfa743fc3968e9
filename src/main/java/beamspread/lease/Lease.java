package beamspread.lease;

/**
 * A lease as the store has it; times are Unix milliseconds of the store's own clock.
 *
 * @param holder the id that only its holder knows; empty where nobody holds it
 * @param described who that is, for people
 * @param epoch of the last owner; it stays when the lease is given back
 * @param expiresMillis when it ends unless it is renewed
 * @param nowMillis when this was read
 */
public record Lease(
    String name,
    String holder,
    String described,
    long epoch,
    long acquiredMillis,
    long expiresMillis,
    long nowMillis) {

  /** Whether somebody holds it. */
  public boolean held() {
    return !holder.isEmpty() && nowMillis < expiresMillis;
  }

  /** What its owner shows with each call. */
  public FencingToken token() {
    return new FencingToken(name, epoch);
  }
}
