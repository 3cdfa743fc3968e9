package beamspread.variants;

/**
 * The table that a process holds, and until when. Versions only go up; a table holds until its end
 * on this process's own clock and not a moment longer, whoever has gone silent. A process begins
 * without one.
 */
public final class HeldTable {
  /** What became of a table that was offered. */
  public enum Taken {
    /** It is a new version, and in force. */
    NEW,
    /** It is the version that is known, and holds for longer now. */
    RENEWED,
    /** A higher version was seen. */
    OLDER,
    /** It has the version of another table. */
    OTHER_CONTENT,
    /** It is another fleet's. */
    OTHER_FLEET,
    /** It came so late that it holds no more; what was in force before it is no more, either. */
    LAPSED
  }

  private final String fleet;
  private VariantVersion highest = VariantVersion.NONE;
  private VariantTable table;
  private long until;

  /** Holds tables of this fleet, and none yet. */
  public HeldTable(String fleet) {
    this.fleet = fleet;
  }

  /** Takes a table that holds until a time of this process's clock. */
  public Taken take(long now, VariantTable offered, long holdsUntil) {
    if (!offered.fleet().equals(fleet)) {
      return Taken.OTHER_FLEET;
    }
    int newer = offered.version().compareTo(highest);
    if (newer < 0 || table == null && newer == 0) {
      return Taken.OLDER;
    }
    if (newer == 0 && !offered.digest().equals(table.digest())) {
      return Taken.OTHER_CONTENT;
    }
    if (newer == 0) {
      return renew(now, offered.version(), holdsUntil);
    }
    highest = offered.version();
    table = offered;
    until = holdsUntil;
    return inForce(now) == null ? Taken.LAPSED : Taken.NEW;
  }

  /** The version that is known holds until this time as well. */
  public Taken renew(long now, VariantVersion version, long holdsUntil) {
    if (table == null || version.compareTo(highest) != 0) {
      return Taken.OLDER;
    }
    if (holdsUntil - until > 0) {
      until = holdsUntil;
    }
    return inForce(now) == null ? Taken.LAPSED : Taken.RENEWED;
  }

  /** The table that holds now; null for none. */
  public VariantTable inForce(long now) {
    return table != null && until - now > 0 ? table : null;
  }

  /** How long the table holds from now on; 0 for not at all. */
  public long leftNanos(long now) {
    return inForce(now) == null ? 0 : until - now;
  }

  /** The highest version that was seen, in force or not. */
  public VariantVersion highest() {
    return highest;
  }
}
