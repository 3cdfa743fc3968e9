package beamspread.node.variants;

import beamspread.variants.VariantCounts;
import beamspread.variants.VariantKeys;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;

/** Writes the state of variant keys as a field of the node's status. */
public final class VariantStatus {
  private VariantStatus() {}

  /**
   * Writes the field {@code variants}.
   *
   * @param keys the variant keys; null if the node does not use them, and nothing is written
   */
  public static void write(JsonGenerator json, VariantKeys keys) throws IOException {
    if (keys == null) {
      return;
    }
    long now = System.nanoTime();
    VariantCounts counts = keys.counts();
    json.writeObjectFieldStart("variants");
    json.writeStringField("version", keys.held().highestVersion().toString());
    json.writeNumberField("holds_ms", keys.held().remainingNanos(now) / 1_000_000);
    json.writeArrayFieldStart("split");
    for (String family : keys.split(now)) {
      json.writeString(family);
    }
    json.writeEndArray();
    json.writeNumberField("rewritten", counts.rewritten);
    json.writeNumberField("too_long", counts.tooLong);
    json.writeNumberField("compared", counts.compared);
    json.writeNumberField("differed", counts.differed);
    json.writeNumberField("written", counts.written);
    json.writeNumberField("refused_tables", counts.refused);
    json.writeEndObject();
  }
}
