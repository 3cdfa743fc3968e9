package beamspread.variants;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** The first 128 bits of the SHA-256 of a value. A collision of different values is negligible. */
public record ValueHash(long high, long low) {
  /** Computes the hash of a value incrementally. */
  public static final class Builder {
    private final MessageDigest digest;

    /** Creates a builder for an empty value. */
    public Builder() {
      try {
        digest = MessageDigest.getInstance("SHA-256");
      } catch (NoSuchAlgorithmException e) {
        throw new IllegalStateException(e);
      }
    }

    /** Adds the next bytes of the value; the buffer's position moves to its limit. */
    public Builder add(ByteBuffer bytes) {
      digest.update(bytes);
      return this;
    }

    /** Returns the hash of all bytes added. */
    public ValueHash build() {
      ByteBuffer bytes = ByteBuffer.wrap(digest.digest());
      return new ValueHash(bytes.getLong(), bytes.getLong());
    }
  }
}
