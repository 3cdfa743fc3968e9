package beamspread.agent;

import beamspread.fleet.api.Json;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The families of variants that operators keep split, by fleet, in a file of the agent's folder. A
 * file that is damaged is never taken for an empty one. Not for more than one thread, but for
 * {@link #write}.
 */
final class KeptSplits {
  /** Families of a fleet that are kept. */
  static final int MOST_FAMILIES = 1024;

  private final Path file;
  private final Map<String, Set<String>> families = new TreeMap<>();

  /** What is wrong with the file; null if nothing is. */
  private final String trouble;

  /** Reads the file; none are kept where there is no file yet. */
  KeptSplits(Path file) {
    this.file = file;
    String why = null;
    try {
      read();
    } catch (IOException e) {
      why =
          "it is not known which families operators keep split: "
              + e.getMessage()
              + "; split them again and remove the file";
    }
    trouble = why;
  }

  private void read() throws IOException {
    if (!Files.exists(file)) {
      return;
    }
    try {
      JsonNode tree = Json.readTree(Files.readString(file));
      if (!tree.isObject()) {
        throw new IOException(file + " is damaged: no JSON object");
      }
      for (var fleet : tree.properties()) {
        if (!fleet.getValue().isArray()) {
          throw new IOException(file + " is damaged: " + fleet.getKey() + " is no list");
        }
        for (JsonNode family : fleet.getValue()) {
          of(fleet.getKey()).add(family.asText());
        }
      }
    } catch (Json.BadJsonException e) {
      throw new IOException(file + " is damaged: " + e.getMessage(), e);
    }
  }

  private Set<String> of(String fleet) {
    return families.computeIfAbsent(fleet, name -> new TreeSet<>());
  }

  /** What is wrong with the file; null if nothing is. */
  String trouble() {
    return trouble;
  }

  /** The families of a fleet that are kept split. */
  Set<String> families(String fleet) {
    return Set.copyOf(families.getOrDefault(fleet, Set.of()));
  }

  /** Keeps a family, or no longer; whether anything is changed by it. */
  boolean set(String fleet, String family, boolean kept) {
    return kept ? of(fleet).add(family) : of(fleet).remove(family);
  }

  /** All of it, to be written. */
  String text() {
    return Json.text(families) + "\n";
  }

  /** Writes what {@link #text} gave; on the disk when it returns. */
  void write(String text) throws IOException {
    DurableFile.write(file, text);
  }
}
