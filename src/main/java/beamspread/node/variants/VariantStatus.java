package beamspread.node.variants;

import beamspread.variants.VariantCounts;
import beamspread.variants.VariantKeys;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;

/** What a node tells of variant keys, as a field of its status. */
public final class VariantStatus {
  private VariantStatus() {}

  /** Writes the field {@code variants}; nothing where the node takes no part in them. */
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
