package beamspread.node;

import beamspread.model.ServerEntry;
import beamspread.node.discovery.ListStatus;
import beamspread.node.tier.TierSocket;
import beamspread.node.tier.TierStatus;
import beamspread.node.variants.VariantStatus;
import beamspread.node.wire.Json;
import beamspread.policy.UnservedCause;
import beamspread.relay.Relays;
import beamspread.variants.VariantKeys;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Map;

/**
 * What a node says of itself, as one JSON object on one line.
 *
 * @param configuration how the readings of the configuration fared
 * @param listen where clients connect
 * @param mgmt where operators call, null for nowhere
 * @param openRequests requests taken and not answered
 * @param clientConnections connections of clients
 * @param serverConnections sockets to cache servers: open, coming up, or being given up
 * @param servers how many cache servers the list names in each state
 * @param list how its list of cache servers fares
 * @param unserved how many requests it has answered itself for each cause, since the start
 * @param values how large values fare
 * @param draining whether a planned restart has begun
 * @param longestTurnMs the longest turn of the event loop since the start, in milliseconds
 * @param pauses how many turns took 50 ms or more
 * @param tier this node's part in its tier, null for none
 * @param variants its canonical keys, null for none
 */
record NodeStatus(
    Configuration configuration,
    String listen,
    String mgmt,
    int openRequests,
    int clientConnections,
    int serverConnections,
    Map<ServerEntry.State, Integer> servers,
    ListStatus list,
    Map<UnservedCause, Long> unserved,
    Values values,
    boolean draining,
    long longestTurnMs,
    int pauses,
    TierSocket tier,
    VariantKeys variants) {

  /**
   * How the readings of the configuration fared. A reading is over, for good or ill, when {@code
   * readings} has grown.
   *
   * @param generation which accepted configuration the node runs, 1 for that of its start
   * @param digest SHA-256 of the file that it runs, in hexadecimal
   * @param readings how often the file was read, the start included
   * @param triedDigest SHA-256 of the file that was read last; empty if it could not be read
   * @param refusal why the last reading changed nothing; null if it was taken over
   * @param needsRestart whether parts of what was accepted wait for the next start
   */
  record Configuration(
      long generation,
      String digest,
      long readings,
      String triedDigest,
      String refusal,
      boolean needsRestart) {

    /** The state after one more reading that was taken over. */
    Configuration accepted(String newDigest, boolean restart) {
      return new Configuration(generation + 1, newDigest, readings + 1, newDigest, null, restart);
    }

    /** The state after one more reading that was refused. */
    Configuration refused(String badDigest, String why) {
      return new Configuration(generation, digest, readings + 1, badDigest, why, needsRestart);
    }
  }

  /**
   * Values of over 64 KiB, since the start but for the first two.
   *
   * @param open on their way now
   * @param heldBytes bytes of them that were read and not yet taken by clients
   * @param passed taken in full
   * @param broken not finished by their cache servers
   * @param slow not finished since their clients took too little
   */
  record Values(int open, long heldBytes, long passed, long broken, long slow) {
    static Values of(Relays relays) {
      return new Values(
          relays.openCount(),
          relays.heldBytes(),
          relays.completedCount(),
          relays.abortedByServers(),
          relays.slowClients());
    }

    private void write(JsonGenerator json) throws IOException {
      json.writeObjectFieldStart("large_values");
      json.writeNumberField("open", open);
      json.writeNumberField("held_bytes", heldBytes);
      json.writeNumberField("passed", passed);
      json.writeNumberField("broken_by_servers", broken);
      json.writeNumberField("slow_clients", slow);
      json.writeEndObject();
    }
  }

  String json() {
    return Json.object(
            json -> {
              json.writeNumberField("pid", ProcessHandle.current().pid());
              json.writeStringField("listen", listen);
              json.writeStringField("mgmt", mgmt);
              json.writeNumberField("generation", configuration.generation());
              json.writeStringField("digest", configuration.digest());
              json.writeNumberField("readings", configuration.readings());
              json.writeStringField("tried_digest", configuration.triedDigest());
              json.writeStringField("refusal", configuration.refusal());
              json.writeBooleanField("needs_restart", configuration.needsRestart());
              json.writeNumberField("open_requests", openRequests);
              json.writeNumberField("client_connections", clientConnections);
              json.writeNumberField("server_connections", serverConnections);
              json.writeObjectFieldStart("servers");
              json.writeNumberField("active", servers.getOrDefault(ServerEntry.State.READY, 0));
              json.writeNumberField("leaving", servers.getOrDefault(ServerEntry.State.DRAINING, 0));
              json.writeEndObject();
              list.write(json);
              Json.writeCounts(json, "unserved", unserved);
              values.write(json);
              json.writeBooleanField("draining", draining);
              json.writeNumberField("longest_turn_ms", longestTurnMs);
              json.writeNumberField("pauses", pauses);
              TierStatus.write(json, tier);
              VariantStatus.write(json, variants);
            })
        + "\n";
  }
}
