package beamspread.fleet.api;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** JSON as the API has it: strict in what it takes. */
public final class Json {
  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .serializationInclusion(JsonInclude.Include.ALWAYS)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .build();

  private static final Pattern MISSING = Pattern.compile("^Missing creator property '([^']*)'");

  private Json() {}

  /** A text that is not what it should be; the message says where. */
  public static final class BadJsonException extends Exception {
    private static final long serialVersionUID = 1L;

    BadJsonException(String message) {
      super(message);
    }
  }

  /** A value as JSON text on one line. */
  public static String text(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A value as a tree. */
  public static JsonNode tree(Object value) {
    return MAPPER.valueToTree(value);
  }

  /** Reads a value; a field that is unknown, missing or of a wrong kind is named. */
  public static <T> T read(String text, Class<T> type) throws BadJsonException {
    try {
      T value = MAPPER.readValue(text, type);
      if (value == null) {
        throw new BadJsonException("a JSON object is needed, not null");
      }
      return value;
    } catch (UnrecognizedPropertyException e) {
      throw new BadJsonException("unknown field '" + e.getPropertyName() + "'" + at(e));
    } catch (JsonProcessingException e) {
      Matcher missing = MISSING.matcher(e.getOriginalMessage());
      if (missing.find()) {
        throw new BadJsonException("field '" + missing.group(1) + "' is missing" + at(e));
      }
      throw new BadJsonException(e.getOriginalMessage().lines().findFirst().orElse("") + at(e));
    }
  }

  /** Reads any JSON. */
  public static JsonNode readTree(String text) throws BadJsonException {
    return read(text, JsonNode.class);
  }

  private static String at(JsonProcessingException e) {
    return e.getLocation() == null
        ? ""
        : " (line "
            + e.getLocation().getLineNr()
            + ", column "
            + e.getLocation().getColumnNr()
            + ")";
  }
}
