package beamspread.variants;

/** Counts of keys, values and tables at one node. */
public final class VariantCounts {
  /** Keys that were replaced by their canonical keys. */
  public long rewritten;

  /** Keys whose canonical key would be too long for the protocol. */
  public long tooLong;

  /** Values that were requested under a variant's own key for comparison. */
  public long compared;

  /** Values that differed although their variants count as the same. */
  public long differed;

  /** Writes to keys of a family. */
  public long written;

  /**
   * Tables that were rejected: damaged, older, of another fleet, or with a family or class that the
   * rules lack.
   */
  public long refused;
}
