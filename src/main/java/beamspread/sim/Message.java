package beamspread.sim;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A JSON object of the protocol, with typed access to its fields. */
public final class Message {
  private static final JsonFactory FACTORY = new JsonFactory();
  private final Map<String, Object> fields;

  private Message(Map<String, Object> fields) {
    this.fields = fields;
  }

  /** Compares the fields, without regard to their order. */
  @Override
  public boolean equals(Object other) {
    return other instanceof Message message && fields.equals(message.fields);
  }

  @Override
  public int hashCode() {
    return fields.hashCode();
  }

  /** Parses a text that consists of exactly one JSON object. */
  public static Message parse(String line) throws WireException {
    try (JsonParser parser = FACTORY.createParser(line)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new WireException("not a JSON object");
      }
      Message message = new Message(readFields(parser));
      if (parser.nextToken() != null) {
        throw new WireException("more than one JSON value");
      }
      return message;
    } catch (IOException e) {
      throw new WireException("not JSON");
    }
  }

  private static Map<String, Object> readFields(JsonParser parser) throws IOException {
    Map<String, Object> map = new HashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      map.put(name, readValue(parser));
    }
    return map;
  }

  private static Object readValue(JsonParser parser) throws IOException {
    switch (parser.currentToken()) {
      case START_OBJECT:
        return new Message(readFields(parser));
      case START_ARRAY:
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
          list.add(readValue(parser));
        }
        return list;
      case VALUE_NUMBER_INT:
      case VALUE_NUMBER_FLOAT:
        return parser.getNumberValue();
      case VALUE_TRUE:
        return Boolean.TRUE;
      case VALUE_FALSE:
        return Boolean.FALSE;
      case VALUE_NULL:
        return null;
      default:
        return parser.getText();
    }
  }

  private WireException invalidField(String name) {
    String type = fields.get("type") instanceof String text ? text + " " : "";
    String problem = fields.get(name) == null ? "without" : "with a wrong value of";
    return new WireException(type + "message " + problem + " field '" + name + "'");
  }

  /** Returns a required text. */
  public String requiredText(String name) throws WireException {
    if (fields.get(name) instanceof String text) {
      return text;
    }
    throw invalidField(name);
  }

  /** Returns a required number. */
  public double requiredNumber(String name) throws WireException {
    if (fields.get(name) instanceof Number number) {
      return number.doubleValue();
    }
    throw invalidField(name);
  }

  long requiredInteger(String name) throws WireException {
    if (fields.get(name) instanceof Number number) {
      return number.longValue();
    }
    throw invalidField(name);
  }

  /** Returns a text, or a number as text; {@code defaultValue} if the field is neither. */
  public String text(String name, String defaultValue) {
    Object value = fields.get(name);
    if (value instanceof String text) {
      return text;
    }
    return value instanceof Number number ? number.toString() : defaultValue;
  }

  /** Returns a number; {@code defaultValue} if the field is none. */
  public double number(String name, double defaultValue) {
    return fields.get(name) instanceof Number number ? number.doubleValue() : defaultValue;
  }

  /** Returns whether the field is true. */
  public boolean flag(String name) {
    return Boolean.TRUE.equals(fields.get(name));
  }

  /** Returns the nested object of this name; an empty one if it is absent. */
  public Message nested(String name) {
    return fields.get(name) instanceof Message message ? message : new Message(Map.of());
  }

  /** Returns a required nested object. */
  public Message requiredNested(String name) throws WireException {
    if (fields.get(name) instanceof Message message) {
      return message;
    }
    throw invalidField(name);
  }

  /** Returns the names of the fields. */
  public Set<String> names() {
    return Set.copyOf(fields.keySet());
  }

  /** Returns whether a field is present and not null. */
  public boolean has(String name) {
    return fields.get(name) != null;
  }

  /** Returns the objects of an array; none if it is absent. */
  public List<Message> objects(String name) {
    List<Message> found = new ArrayList<>();
    if (fields.get(name) instanceof List<?> list) {
      for (Object item : list) {
        if (item instanceof Message message) {
          found.add(message);
        }
      }
    }
    return found;
  }

  /** Returns the objects of a required array that contains nothing else. */
  public List<Message> requiredObjects(String name) throws WireException {
    List<Message> found = objects(name);
    if (fields.get(name) instanceof List<?> list && list.size() == found.size()) {
      return found;
    }
    throw invalidField(name);
  }

  /** Returns the elements of an array as texts; none if it is absent. */
  public List<String> texts(String name) {
    List<String> found = new ArrayList<>();
    if (fields.get(name) instanceof List<?> list) {
      for (Object item : list) {
        found.add(String.valueOf(item));
      }
    }
    return found;
  }
}
