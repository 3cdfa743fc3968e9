package beamspread.agent;

import beamspread.fleet.api.Json;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a node says of itself on its status socket.
 *
 * @param readings how often it has read its configuration, the start included
 * @param refusal why the last reading changed nothing; null if it was taken over
 * @param whole all of it
 */
record NodeSays(
    long pid,
    long generation,
    String digest,
    long readings,
    String triedDigest,
    String refusal,
    boolean needsRestart,
    JsonNode whole) {

  /** Reads the line that the node sent. */
  static NodeSays of(String line) throws Json.BadJsonException {
    JsonNode node = Json.readTree(line);
    return new NodeSays(
        node.path("pid").asLong(),
        node.path("generation").asLong(),
        node.path("digest").asText(),
        node.path("readings").asLong(),
        node.path("tried_digest").asText(),
        node.hasNonNull("refusal") ? node.get("refusal").asText() : null,
        node.path("needs_restart").asBoolean(),
        node);
  }
}
