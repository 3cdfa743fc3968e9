package beamspread.tier;

/** Hash functions whose results are the same in every process and version of the program. */
final class Hashing {
  private Hashing() {}

  /** Applies the finalizer of SplitMix64 (Steele 2014). */
  static long hash(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }

  static long hash(long first, long second) {
    return hash(hash(first + 0x9E3779B97F4A7C15L) + second);
  }

  static int hash(String text) {
    long mixed = text.length();
    for (int i = 0; i < text.length(); i++) {
      mixed = hash(mixed, text.charAt(i));
    }
    return (int) mixed;
  }
}
