package beamspread.node.variants;

import beamspread.sim.Message;
import beamspread.sim.WireException;
import beamspread.variants.VariantException;
import beamspread.variants.VariantFile;
import beamspread.variants.VariantRule;
import beamspread.variants.VariantRules;
import beamspread.variants.VariantSettings;
import beamspread.variants.VariantTable;
import beamspread.variants.VariantVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Parses {@code variants.json}; a file with any error is rejected. */
public final class VariantFileReader {
  private static final Set<String> FILE_KEYS =
      Set.of("fleet", "hold_s", "rest_s", "slots", "slot_s", "rules");

  private static final Set<String> RULE_KEYS =
      Set.of(
          "prefix",
          "separator",
          "field",
          "name",
          "classes",
          "requests",
          "max_age_s",
          "same",
          "off");

  private VariantFileReader() {}

  /**
   * Parses the text of the file.
   *
   * @throws WireException if the file has an error; the message names the key and the error
   */
  public static VariantFile read(String text) throws WireException {
    Message file = Message.parse(text);
    rejectUnknownKeys(file, FILE_KEYS, "");
    VariantSettings settings = readSettings(file);
    List<VariantRule> rules = new ArrayList<>();
    Map<String, List<Set<String>>> equivalentByPrefix = new TreeMap<>();
    List<Message> objects = file.requiredObjects("rules");
    for (int i = 0; i < objects.size(); i++) {
      Message rule = objects.get(i);
      String path = "rules[" + i + "].";
      try {
        rules.add(readRule(rule, path, settings));
      } catch (IllegalArgumentException e) {
        throw new WireException(path + e.getMessage());
      }
      List<Set<String>> equivalent = readEquivalentClasses(rule, path);
      if (!equivalent.isEmpty()) {
        equivalentByPrefix.put(rule.requiredText("prefix"), equivalent);
      }
    }
    try {
      VariantRules allRules = new VariantRules(rules);
      VariantTable.of(settings.fleet(), VariantVersion.NONE, equivalentByPrefix).check(allRules);
      return new VariantFile(settings, allRules, equivalentByPrefix);
    } catch (VariantException e) {
      throw new WireException(e.getMessage());
    }
  }

  private static void rejectUnknownKeys(Message message, Set<String> keys, String path)
      throws WireException {
    for (String name : message.names()) {
      if (!keys.contains(name)) {
        throw new WireException(path + name + ": unknown key");
      }
    }
  }

  private static VariantSettings readSettings(Message file) throws WireException {
    try {
      VariantSettings defaults = VariantSettings.defaults(file.requiredText("fleet"));
      long holdNanos = readNanos(file, "hold_s", defaults.holdNanos());
      return new VariantSettings(
          defaults.fleet(),
          holdNanos,
          readNanos(file, "rest_s", Math.max(holdNanos, defaults.restNanos())),
          (int) readNumber(file, "slots", defaults.slots()),
          readNanos(file, "slot_s", defaults.slotNanos()));
    } catch (IllegalArgumentException e) {
      throw new WireException(e.getMessage());
    }
  }

  private static long readNanos(Message message, String name, long defaultNanos)
      throws WireException {
    return (long) (readNumber(message, name, defaultNanos / 1e9) * 1e9);
  }

  private static double readNumber(Message message, String name, double defaultValue)
      throws WireException {
    return message.has(name) ? message.requiredNumber(name) : defaultValue;
  }

  private static VariantRule readRule(Message rule, String path, VariantSettings settings)
      throws WireException {
    rejectUnknownKeys(rule, RULE_KEYS, path);
    String separator = rule.requiredText("separator");
    if (separator.length() != 1) {
      throw new WireException(path + "separator must be one character");
    }
    double maxAge = rule.requiredNumber("max_age_s");
    if (maxAge * 1e9 < settings.maxSplitDelayNanos()) {
      throw new WireException(
          path
              + "max_age_s: must be at least "
              + settings.maxSplitDelayNanos() / 1e9
              + " s (hold_s plus two thirds of it), the age that answers can reach");
    }
    return new VariantRule(
        rule.requiredText("prefix"),
        separator.charAt(0),
        (int) readNumber(rule, "field", -1),
        rule.text("name", null),
        rule.texts("classes"),
        Set.copyOf(rule.texts("requests")),
        !rule.flag("off"));
  }

  /** Returns the sets of equivalent classes; in the file each is one string, joined by pluses. */
  private static List<Set<String>> readEquivalentClasses(Message rule, String path)
      throws WireException {
    List<Set<String>> equivalent = new ArrayList<>();
    List<String> seen = new ArrayList<>();
    for (String set : rule.texts("same")) {
      List<String> classes = List.of(set.split("\\+", -1));
      for (String name : classes) {
        if (seen.contains(name)) {
          throw new WireException(path + "same: '" + name + "' is listed twice");
        }
        seen.add(name);
      }
      equivalent.add(Set.copyOf(classes));
    }
    return equivalent;
  }
}
