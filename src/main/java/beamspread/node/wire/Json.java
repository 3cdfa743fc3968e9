package beamspread.node.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.Map;

/** Writes JSON objects, each on one line. */
public final class Json {
  private static final JsonFactory FACTORY = new JsonFactory();

  /** Writes the fields of an object. */
  public interface Fields {
    void write(JsonGenerator json) throws IOException;
  }

  private Json() {}

  /** Returns an object with these fields. */
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

  /** Writes an object field with one count for each enum constant, named in lower case. */
  public static <K extends Enum<K>> void writeCounts(
      JsonGenerator json, String field, Map<K, Long> counts) throws IOException {
    json.writeObjectFieldStart(field);
    for (Map.Entry<K, Long> count : counts.entrySet()) {
      json.writeNumberField(count.getKey().name().toLowerCase(Locale.ROOT), count.getValue());
    }
    json.writeEndObject();
  }

  /** Returns an object with one text field. */
  public static String object(String name, String value) {
    return object(json -> json.writeStringField(name, value));
  }
}
