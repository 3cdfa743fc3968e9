package beamspread.node;

import beamspread.model.ServerEntry;
import beamspread.node.client.ClientCloseCause;
import beamspread.node.discovery.ListStatus;
import beamspread.node.server.ReplyStatistics;
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
 * The status of a node, written as one JSON object on one line.
 *
 * @param configuration the results of reading the configuration
 * @param listen the address for clients
 * @param mgmt the address for operators, null for none
 * @param openRequests requests received and not answered
 * @param clientConnections connections of clients
 * @param serverConnections sockets to cache servers: open, connecting, or closing
 * @param servers how many cache servers the list names in each state
 * @param list the status of the list of cache servers
 * @param unserved how many requests this node has answered itself for each cause, since the start
 * @param replies counts of replies that answer nothing, of refusals, and of ended connections
 * @param clientCloses how many connections of clients have ended for each cause, since the start
 * @param lostAnswers how many answers to requests that may have run this node has lost by closing
 *     their connections, for each cause
 * @param largeValues counts of large values
 * @param draining whether a planned restart has begun
 * @param longestTurnMs the longest iteration of the event loop since the start, in milliseconds
 * @param pauses how many iterations took 50 ms or more
 * @param tier this node's membership of its tier, null for none
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
    ReplyStatistics replies,
    Map<ClientCloseCause, Long> clientCloses,
    Map<ClientCloseCause, Long> lostAnswers,
    LargeValues largeValues,
    boolean draining,
    long longestTurnMs,
    int pauses,
    TierSocket tier,
    VariantKeys variants) {

  /**
   * The results of reading the configuration. A reading is complete, accepted or refused, once
   * {@code readings} has grown.
   *
   * @param generation number of the accepted configuration in force, 1 for the one of the start
   * @param digest SHA-256 of the file in force, in hexadecimal
   * @param readings how often the file was read, the start included
   * @param triedDigest SHA-256 of the file that was read last; empty if it could not be read
   * @param refusal why the last reading was refused; null if it was accepted
   * @param needsRestart whether parts of the accepted configuration take effect only at the next
   *     start
   */
  record Configuration(
      long generation,
      String digest,
      long readings,
      String triedDigest,
      String refusal,
      boolean needsRestart) {

    /** Returns the state after one more reading that was accepted. */
    Configuration accepted(String newDigest, boolean restart) {
      return new Configuration(generation + 1, newDigest, readings + 1, newDigest, null, restart);
    }

    /** Returns the state after one more reading that was refused. */
    Configuration refused(String refusedDigest, String reason) {
      return new Configuration(
          generation, digest, readings + 1, refusedDigest, reason, needsRestart);
    }
  }

  /**
   * Counts of values over 64 KiB, since the start except for the first two.
   *
   * @param open being relayed now
   * @param heldBytes bytes that were read and not yet accepted by clients
   * @param completed relayed completely
   * @param brokenByServers not completed by their cache servers
   * @param slowClients aborted because their clients read too slowly
   * @param refusedUnfinished refused before their first byte in favour of the answers behind them
   */
  record LargeValues(
      int open,
      long heldBytes,
      long completed,
      long brokenByServers,
      long slowClients,
      long refusedUnfinished) {
    static LargeValues of(Relays relays) {
      return new LargeValues(
          relays.openCount(),
          relays.heldBytes(),
          relays.completedCount(),
          relays.abortedByServers(),
          relays.slowClients(),
          relays.refusedUnfinished());
    }

    private void write(JsonGenerator json) throws IOException {
      json.writeObjectFieldStart("large_values");
      json.writeNumberField("open", open);
      json.writeNumberField("held_bytes", heldBytes);
      json.writeNumberField("passed", completed);
      json.writeNumberField("broken_by_servers", brokenByServers);
      json.writeNumberField("slow_clients", slowClients);
      json.writeNumberField("refused_unfinished", refusedUnfinished);
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
              replies.write(json);
              Json.writeCounts(json, "client_closes", clientCloses);
              Json.writeCounts(json, "lost_answers", lostAnswers);
              largeValues.write(json);
              json.writeBooleanField("draining", draining);
              json.writeNumberField("longest_turn_ms", longestTurnMs);
              json.writeNumberField("pauses", pauses);
              TierStatus.write(json, tier);
              VariantStatus.write(json, variants);
            })
        + "\n";
  }
}
