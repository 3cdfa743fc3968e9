package beamspread.model;

/** Hashes of keys and ids. All nodes and versions must agree, since they decide slot owners. */
public final class Hashes {
  private Hashes() {}

  /** Returns a 64-bit hash of a text: FNV-1a, then {@link #mix}. */
  public static long of(String text) {
    long hash = 0xCBF29CE484222325L;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * 0x100000001B3L;
    }
    return mix(hash);
  }

  /** Returns the next output of SplitMix64 for this state: its increment and finalizer. */
  public static long mix(long state) {
    state += 0x9E3779B97F4A7C15L;
    state = (state ^ (state >>> 30)) * 0xBF58476D1CE4E5B9L;
    state = (state ^ (state >>> 27)) * 0x94D049BB133111EBL;
    return state ^ (state >>> 31);
  }

  /** Maps a hash to a number in [0, 1). */
  public static double toUnitInterval(long hash) {
    return (mix(hash) >>> 11) * 0x1.0p-53;
  }
}
