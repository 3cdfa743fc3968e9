package beamspread.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * What an agent reads of a node's configuration.
 *
 * @param digest SHA-256 of the file, in hexadecimal
 * @param longestDeadlineNanos the longest deadline of its classes; 0 if it names none
 */
record NodeFile(String digest, long longestDeadlineNanos) {
  private static final JsonMapper MAPPER = new JsonMapper();

  /** Reads the file; null if it can't be read or is no configuration. */
  static NodeFile read(Path file) {
    try {
      byte[] bytes = Files.readAllBytes(file);
      double longest = 0;
      for (JsonNode service : MAPPER.readTree(bytes).path("settings").path("services")) {
        longest = Math.max(longest, service.path("give-up").asDouble());
      }
      return new NodeFile(digest(bytes), (long) (longest * 1e9));
    } catch (IOException e) {
      return null;
    }
  }

  /** SHA-256 of these bytes, in hexadecimal. */
  static String digest(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
