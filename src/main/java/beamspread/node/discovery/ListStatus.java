package beamspread.node.discovery;

import beamspread.node.wire.Json;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Map;

/**
 * What a node tells of its list of cache servers.
 *
 * @param version its version
 * @param confirmedMillis how long ago discovery last confirmed it, in milliseconds
 * @param expired whether it is too old for requests to go out by it
 * @param expiries how often it has become so since the start
 * @param calls calls made since the start
 * @param failures how many of them ended in each way
 */
public record ListStatus(
    long version,
    long confirmedMillis,
    boolean expired,
    long expiries,
    long calls,
    Map<CallFailure.Kind, Long> failures) {

  /** Writes the field {@code list}. */
  public void write(JsonGenerator json) throws IOException {
    json.writeObjectFieldStart("list");
    json.writeNumberField("version", version);
    json.writeNumberField("confirmed_ms_ago", confirmedMillis);
    json.writeBooleanField("expired", expired);
    json.writeNumberField("expiries", expiries);
    json.writeNumberField("calls", calls);
    Json.writeCounts(json, "failed_calls", failures);
    json.writeEndObject();
  }
}
