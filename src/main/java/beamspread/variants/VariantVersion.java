package beamspread.variants;

/**
 * Version of a table. A version of a later owner is higher, whatever its number.
 *
 * @param token the fencing token of the owner's lease
 * @param number counted by that owner, from 1
 */
public record VariantVersion(long token, long number) implements Comparable<VariantVersion> {
  /** Lower than any version of a table. */
  public static final VariantVersion NONE = new VariantVersion(0, 0);

  @Override
  public int compareTo(VariantVersion other) {
    return token != other.token
        ? Long.compare(token, other.token)
        : Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return token + "." + number;
  }
}
