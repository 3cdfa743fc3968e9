package beamspread.model;

/** Hashes of keys and ids: the same at every node and in every version, since homes go by them. */
public final class Hashes {
  private Hashes() {}

  /** A 64-bit hash of a text: FNV-1a, then mixed. */
  public static long of(String text) {
    long h = 0xCBF29CE484222325L;
    for (int i = 0; i < text.length(); i++) {
      h = (h ^ text.charAt(i)) * 0x100000001B3L;
    }
    return mix(h);
  }

  /** The finalizer of SplitMix64. */
  public static long mix(long z) {
    z += 0x9E3779B97F4A7C15L;
    z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }

  /** A hash as a number in [0, 1). */
  public static double fraction(long hash) {
    return (mix(hash) >>> 11) * 0x1.0p-53;
  }
}
