package beamspread.node.discovery;

import beamspread.node.wire.Json;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Map;

/**
 * The state of the list of cache servers, as a node reports it in its status.
 *
 * @param version the version of the list
 * @param millisSinceConfirmed the time since discovery last confirmed the list, in milliseconds
 * @param expired whether the list is too old to send requests by it
 * @param expiries how often the list has expired since the start
 * @param calls number of calls since the start
 * @param failuresByKind number of failed calls since the start, by cause
 */
public record ListStatus(
    long version,
    long millisSinceConfirmed,
    boolean expired,
    long expiries,
    long calls,
    Map<CallFailure.Kind, Long> failuresByKind) {

  /** Writes the field {@code list}. */
  public void write(JsonGenerator json) throws IOException {
    json.writeObjectFieldStart("list");
    json.writeNumberField("version", version);
    json.writeNumberField("confirmed_ms_ago", millisSinceConfirmed);
    json.writeBooleanField("expired", expired);
    json.writeNumberField("expiries", expiries);
    json.writeNumberField("calls", calls);
    Json.writeCounts(json, "failed_calls", failuresByKind);
    json.writeEndObject();
  }
}
