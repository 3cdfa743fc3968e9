package beamspread.variants;

/** What has become of keys and tables at one node. */
public final class VariantCounts {
  /** Keys that were replaced by their canonical ones. */
  public long rewritten;

  /** Keys whose canonical one would be too long for the protocol. */
  public long tooLong;

  /** Values that came under a variant's own key to be compared. */
  public long compared;

  /** Values that differed where they counted as the same. */
  public long differed;

  /** Writes of keys of a family. */
  public long written;

  /** Tables that were refused: damaged, older, of another fleet, or with what the rules lack. */
  public long refused;
}
