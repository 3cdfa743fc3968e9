package beamspread.lab;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Where finished runs are kept, so that an experiment that was ended goes on where it was: a run
 * counts as done once it is kept. Called from several threads.
 */
public interface Runs {
  /** Keeps nothing. */
  Runs NONE =
      new Runs() {
        @Override
        public Result find(Key key) {
          return null;
        }

        @Override
        public void keep(Key key, Result result) {}
      };

  /**
   * What makes a run what it is: the same gives the same result.
   *
   * @param fleet a digest of all that is emulated
   * @param seed of the run
   * @param warmSeconds that count for nothing
   * @param seconds that count
   */
  record Key(String fleet, long seed, double warmSeconds, double seconds) {
    /** The key of a run of this fleet. */
    public static Key of(Fleet fleet, long seed, double warmSeconds, double seconds) {
      try {
        byte[] text = fleet.toString().getBytes(StandardCharsets.UTF_8);
        byte[] digest = MessageDigest.getInstance("SHA-256").digest(text);
        return new Key(HexFormat.of().formatHex(digest), seed, warmSeconds, seconds);
      } catch (NoSuchAlgorithmException e) {
        // Every Java platform has it.
        throw new IllegalStateException(e);
      }
    }
  }

  /** The result of a run; null if it is not known. */
  Result find(Key key);

  /** Keeps a result; returns once it is there to stay. What is kept already stays as it is. */
  void keep(Key key, Result result);
}
