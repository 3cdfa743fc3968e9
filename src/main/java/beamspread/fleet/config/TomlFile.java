package beamspread.fleet.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** A file of TOML that is checked whole: every fault is kept, with its line and key. */
public final class TomlFile {
  private final String name;
  private final List<String> faults = new ArrayList<>();
  private final TomlParseResult root;

  private TomlFile(String name, TomlParseResult root) {
    this.name = name;
    this.root = root;
    for (TomlParseError error : root.errors()) {
      faults.add(name + ":" + error.position().line() + ": " + error.getMessage());
    }
  }

  /** Reads a file; one that can't be read is a fault as well. */
  public static TomlFile read(Path file) throws TomlFaults {
    return read(file, "");
  }

  /** Reads a file as if further lines stood at its end. */
  public static TomlFile read(Path file, String further) throws TomlFaults {
    try {
      return new TomlFile(file.toString(), Toml.parse(Files.readString(file) + further));
    } catch (IOException e) {
      throw new TomlFaults(
          List.of(
              file
                  + ": cannot be read: "
                  + (Files.exists(file) ? e.getMessage() : "no such file")));
    }
  }

  /** The whole file as a table; ends at once where the file is not TOML. */
  public Table root() throws TomlFaults {
    finish();
    return new Table(root, "", 1);
  }

  /** Ends with all faults found, if there are any. */
  public void finish() throws TomlFaults {
    if (!faults.isEmpty()) {
      throw new TomlFaults(faults);
    }
  }

  /** One table of the file. What is asked of it and is wrong is noted, and a default returned. */
  public final class Table {
    private final TomlTable table;
    private final String path;
    private final int line;

    private Table(TomlTable table, String path, int line) {
      this.table = table;
      this.path = path;
      this.line = line;
    }

    /** Notes a fault at one of its keys. */
    public void fault(String key, String problem) {
      TomlPosition at = table.contains(List.of(key)) ? table.inputPositionOf(List.of(key)) : null;
      faults.add(name + ":" + (at == null ? line : at.line()) + ": " + path + key + ": " + problem);
    }

    /** Notes each key that is not among these. */
    public void only(Set<String> keys) {
      for (String key : table.keySet()) {
        if (!keys.contains(key)) {
          fault(key, "unknown key");
        }
      }
    }

    /** Whether the key is there. */
    public boolean has(String key) {
      return table.contains(List.of(key));
    }

    private <T> T value(String key, Class<T> type, String what, T absent) {
      Object value = table.get(List.of(key));
      if (value == null) {
        return absent;
      }
      if (type.isInstance(value)) {
        return type.cast(value);
      }
      fault(key, what + " is needed");
      return absent;
    }

    /** A text. */
    public String text(String key, String absent) {
      return value(key, String.class, "a text", absent);
    }

    /** A text that must be there and not be empty. */
    public String requiredText(String key) {
      String text = text(key, "");
      if (text.isBlank() && (!has(key) || table.get(List.of(key)) instanceof String)) {
        fault(key, has(key) ? "must not be empty" : "is missing");
      }
      return text;
    }

    /** A whole number from {@code least} to {@code most}. */
    public int number(String key, int absent, int least, int most) {
      Long value = value(key, Long.class, "a whole number", null);
      if (value == null) {
        return absent;
      }
      if (value < least || value > most) {
        fault(key, "must be " + least + " to " + most + ", is " + value);
        return absent;
      }
      return value.intValue();
    }

    /** Seconds from {@code least} to {@code most}, in nanoseconds. */
    public long seconds(String key, long absentNanos, double least, double most) {
      Double value = within(key, least, most, "seconds");
      return value == null ? absentNanos : (long) (value * 1e9);
    }

    /** A number from {@code least} to {@code most}. */
    public double decimal(String key, double absent, double least, double most) {
      Double value = within(key, least, most, "");
      return value == null ? absent : value;
    }

    /** A number within bounds; null where it is absent or at fault. */
    private Double within(String key, double least, double most, String unit) {
      Object value = table.get(List.of(key));
      if (value == null) {
        return null;
      }
      if (!(value instanceof Number number)) {
        fault(key, "a number " + (unit.isEmpty() ? "" : "of " + unit + " ") + "is needed");
        return null;
      }
      double found = number.doubleValue();
      if (!(found >= least && found <= most)) {
        fault(key, ("must be " + least + " to " + most + " " + unit).strip() + ", is " + found);
        return null;
      }
      return found;
    }

    /** True or false. */
    public boolean flag(String key, boolean absent) {
      return value(key, Boolean.class, "true or false", absent);
    }

    /** A list of texts. */
    public List<String> texts(String key) {
      TomlArray array = value(key, TomlArray.class, "a list of texts", null);
      List<String> texts = new ArrayList<>();
      for (int i = 0; array != null && i < array.size(); i++) {
        if (array.get(i) instanceof String text) {
          texts.add(text);
        } else {
          fault(key, "entry " + (i + 1) + " is not a text");
        }
      }
      return texts;
    }

    /** A list of whole numbers. */
    public List<Long> numbers(String key) {
      TomlArray array = value(key, TomlArray.class, "a list of whole numbers", null);
      List<Long> numbers = new ArrayList<>();
      for (int i = 0; array != null && i < array.size(); i++) {
        if (array.get(i) instanceof Long number) {
          numbers.add(number);
        } else {
          fault(key, "entry " + (i + 1) + " is not a whole number");
        }
      }
      return numbers;
    }

    /** A table of texts. */
    public Map<String, String> textMap(String key) {
      TomlTable inner = value(key, TomlTable.class, "a table", null);
      Map<String, String> texts = new TreeMap<>();
      if (inner != null) {
        Table checked = new Table(inner, path + key + ".", line);
        for (String name : inner.keySet()) {
          texts.put(name, checked.text(name, ""));
        }
      }
      return texts;
    }

    /** The table of this name; an empty one where it is absent. */
    public Table table(String key) {
      TomlTable inner = value(key, TomlTable.class, "a table", null);
      TomlPosition at = inner == null ? null : table.inputPositionOf(List.of(key));
      return new Table(
          inner == null ? Toml.parse("") : inner, path + key + ".", at == null ? line : at.line());
    }

    /** The tables of this name, {@code [[key]]}. */
    public List<Table> tables(String key) {
      TomlArray array = value(key, TomlArray.class, "[[" + key + "]] tables", null);
      List<Table> tables = new ArrayList<>();
      for (int i = 0; array != null && i < array.size(); i++) {
        if (array.get(i) instanceof TomlTable inner) {
          tables.add(
              new Table(inner, path + key + "[" + (i + 1) + "].", array.inputPositionOf(i).line()));
        } else {
          fault(key, "[[" + key + "]] tables are needed");
        }
      }
      return tables;
    }
  }

  /** Notes which of these names stand twice. */
  public static void unique(List<Table> tables, String key) {
    Map<String, Integer> seen = new HashMap<>();
    for (Table table : tables) {
      String value = table.text(key, "");
      Integer first = seen.putIfAbsent(value, table.line);
      if (first != null && !value.isEmpty()) {
        table.fault(key, "'" + value + "' stands twice, first at line " + first);
      }
    }
  }
}
