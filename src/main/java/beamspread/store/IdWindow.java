package beamspread.store;

import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What may be said of a write's id that is not remembered. Ids are kept for a window and then
 * forgotten, so that their memory is bounded; a retry that comes after that must not be taken for a
 * new write. Time is the store's own, which never runs backwards (see {@link #clock}).
 *
 * <p>An id tells when it was made if it is a UUID of version 7 (RFC 9562); a retry whose id is
 * older than the window is known by that alone. Others tell nothing: there a client's mark of a
 * retry has to do, and once anything has been forgotten such a retry can't be told from a forgotten
 * write.
 */
public final class IdWindow {
  private static final Pattern TIMED =
      Pattern.compile("([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}");

  /** How much of the window clients' clocks may be wrong by, as one part of so many. */
  private static final int SKEW_PART = 4;

  private final long millis;

  /**
   * @param millis for how long an id is remembered at least
   * @throws IllegalArgumentException under a second
   */
  public IdWindow(long millis) {
    if (millis < 1000) {
      throw new IllegalArgumentException("the window of ids must be at least 1 s, is " + millis);
    }
    this.millis = millis;
  }

  /**
   * The store's time: that of the machine, unless it has gone back. Guards against forgetting late
   * and answering early: while the clock is behind, time stands still here.
   *
   * @param last the latest time that was ever used here, from the store itself
   */
  public static long clock(long last, long machine) {
    return Math.max(last, machine);
  }

  /** Up to which time of storing ids may be forgotten. */
  public long forgetUpTo(long now) {
    return now - millis;
  }

  /** When an id says that it was made. */
  static OptionalLong madeAt(String id) {
    Matcher timed = TIMED.matcher(id);
    return timed.matches()
        ? OptionalLong.of(Long.parseLong(timed.group(1) + timed.group(2), 16))
        : OptionalLong.empty();
  }

  /**
   * Whether a write whose id is not remembered may be new.
   *
   * @param forgotten up to which time ids have been forgotten, 0 for none ever
   */
  public boolean mayBeNew(Write write, long now, long forgotten) {
    if (forgotten == 0) {
      return true;
    }
    OptionalLong made = madeAt(write.id());
    if (made.isPresent()) {
      // It was stored after it was made, if ever; the rest of the window is for clocks that differ.
      return made.getAsLong() - millis / SKEW_PART > forgotten;
    }
    return !write.repeat();
  }
}
