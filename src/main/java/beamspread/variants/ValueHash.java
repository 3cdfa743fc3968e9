package beamspread.variants;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** 128 bits of the SHA-256 of a value: equal for equal values, and for others by no chance. */
public record ValueHash(long high, long low) {
  /** Hashes a value as it passes. */
  public static final class Builder {
    private final MessageDigest digest;

    /** Nothing has passed yet. */
    public Builder() {
      try {
        digest = MessageDigest.getInstance("SHA-256");
      } catch (NoSuchAlgorithmException e) {
        throw new IllegalStateException(e);
      }
    }

    /** The next bytes of the value; the buffer's position moves to its end. */
    public Builder add(ByteBuffer bytes) {
      digest.update(bytes);
      return this;
    }

    /** The hash of all that has passed. */
    public ValueHash build() {
      ByteBuffer bytes = ByteBuffer.wrap(digest.digest());
      return new ValueHash(bytes.getLong(), bytes.getLong());
    }
  }
}
