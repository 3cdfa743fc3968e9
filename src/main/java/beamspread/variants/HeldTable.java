package beamspread.variants;

/**
 * The table that a process holds, and until when it is valid. Versions only increase. A table
 * expires at its end on this process's own clock, even if no message arrives. A process starts
 * without a table.
 */
public final class HeldTable {
  /** Result of offering a table. */
  public enum OfferResult {
    /** The table is a new version and is now in force. */
    NEW,
    /** The table is the known version, and its validity was renewed. */
    RENEWED,
    /** A higher version was seen before. */
    OLDER,
    /** Another table with the same version is known. */
    OTHER_CONTENT,
    /** The table belongs to another fleet. */
    OTHER_FLEET,
    /**
     * The table arrived after its validity had ended. The previous table is no longer in force
     * either.
     */
    LAPSED
  }

  private final String fleet;
  private VariantVersion highestVersion = VariantVersion.NONE;
  private VariantTable table;
  private long heldUntil;

  /** Creates a holder for tables of this fleet, without a table. */
  public HeldTable(String fleet) {
    this.fleet = fleet;
  }

  /** Offers a table that is valid until a time of this process's clock. */
  public OfferResult offer(long now, VariantTable offered, long validUntil) {
    if (!offered.fleet().equals(fleet)) {
      return OfferResult.OTHER_FLEET;
    }
    int versionOrder = offered.version().compareTo(highestVersion);
    if (versionOrder < 0 || table == null && versionOrder == 0) {
      return OfferResult.OLDER;
    }
    if (versionOrder == 0 && !offered.digest().equals(table.digest())) {
      return OfferResult.OTHER_CONTENT;
    }
    if (versionOrder == 0) {
      return renew(now, offered.version(), validUntil);
    }
    highestVersion = offered.version();
    table = offered;
    heldUntil = validUntil;
    return inForce(now) == null ? OfferResult.LAPSED : OfferResult.NEW;
  }

  /** Extends the validity of the known version up to this time. */
  public OfferResult renew(long now, VariantVersion version, long validUntil) {
    if (table == null || version.compareTo(highestVersion) != 0) {
      return OfferResult.OLDER;
    }
    if (validUntil - heldUntil > 0) {
      heldUntil = validUntil;
    }
    return inForce(now) == null ? OfferResult.LAPSED : OfferResult.RENEWED;
  }

  /** Returns the table in force; null if there is none. */
  public VariantTable inForce(long now) {
    return table != null && heldUntil - now > 0 ? table : null;
  }

  /** Returns for how long the table remains valid, in nanoseconds; 0 if it is not. */
  public long remainingNanos(long now) {
    return inForce(now) == null ? 0 : heldUntil - now;
  }

  /** Returns the highest version seen, whether in force or not. */
  public VariantVersion highestVersion() {
    return highestVersion;
  }
}
