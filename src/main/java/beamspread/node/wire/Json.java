package beamspread.node.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.Map;

/** JSON objects that a node writes, on one line each. */
public final class Json {
  private static final JsonFactory FACTORY = new JsonFactory();

  /** What goes into an object. */
  public interface Fields {
    void write(JsonGenerator json) throws IOException;
  }

  private Json() {}

  /** An object of these fields. */
  public static String object(Fields fields) {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = FACTORY.createGenerator(text)) {
      json.writeStartObject();
      fields.write(json);
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.toString();
  }

  /** Writes a field with a count for each kind, under the kinds' names in lower case. */
  public static <K extends Enum<K>> void writeCounts(
      JsonGenerator json, String field, Map<K, Long> counts) throws IOException {
    json.writeObjectFieldStart(field);
    for (Map.Entry<K, Long> count : counts.entrySet()) {
      json.writeNumberField(count.getKey().name().toLowerCase(Locale.ROOT), count.getValue());
    }
    json.writeEndObject();
  }

  /** An object of one text. */
  public static String object(String name, String value) {
    return object(json -> json.writeStringField(name, value));
  }
}
