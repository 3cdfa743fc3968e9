package beamspread.agent;

import beamspread.fleet.api.Json;
import beamspread.lease.FencingTokens;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * The highest fencing tokens that an agent has seen, in a file of its folder. A change is on the
 * disk, whole, before {@link #write} returns. A file that is damaged is never taken for an empty
 * one: then owners of long ago would be let in.
 */
final class FencingFile {
  private final Path file;

  FencingFile(Path file) {
    this.file = file;
  }

  /**
   * Reads the tokens; none where there is no file yet.
   *
   * @throws IOException if the file can't be read or makes no sense
   */
  FencingTokens read() throws IOException {
    if (!Files.exists(file)) {
      return new FencingTokens(Map.of());
    }
    Map<String, Long> seen = new TreeMap<>();
    try {
      JsonNode tree = Json.readTree(Files.readString(file));
      if (!tree.isObject()) {
        throw new IOException(file + " is damaged: no JSON object");
      }
      for (var field : tree.properties()) {
        if (!field.getValue().isIntegralNumber()) {
          throw new IOException(file + " is damaged: " + field.getKey() + " is no whole number");
        }
        seen.put(field.getKey(), field.getValue().longValue());
      }
      return new FencingTokens(seen);
    } catch (Json.BadJsonException | IllegalArgumentException e) {
      throw new IOException(file + " is damaged: " + e.getMessage(), e);
    }
  }

  /** Writes all tokens. */
  void write(Map<String, Long> tokens) throws IOException {
    DurableFile.write(file, Json.text(new TreeMap<>(tokens)) + "\n");
  }
}
