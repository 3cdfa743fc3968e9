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

/** Reads {@code variants.json}: whole, or not at all. */
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
   * Reads a file's text.
   *
   * @throws WireException that names the key and what is wrong with it
   */
  public static VariantFile read(String text) throws WireException {
    Message file = Message.parse(text);
    only(file, FILE_KEYS, "");
    VariantSettings settings = settings(file);
    List<VariantRule> rules = new ArrayList<>();
    Map<String, List<Set<String>>> rows = new TreeMap<>();
    List<Message> objects = file.requiredObjects("rules");
    for (int i = 0; i < objects.size(); i++) {
      Message rule = objects.get(i);
      String place = "rules[" + i + "].";
      try {
        rules.add(rule(rule, place, settings));
      } catch (IllegalArgumentException e) {
        throw new WireException(place + e.getMessage());
      }
      List<Set<String>> same = same(rule, place);
      if (!same.isEmpty()) {
        rows.put(rule.requiredText("prefix"), same);
      }
    }
    try {
      VariantRules all = new VariantRules(rules);
      VariantTable.of(settings.fleet(), VariantVersion.NONE, rows).check(all);
      return new VariantFile(settings, all, rows);
    } catch (VariantException e) {
      throw new WireException(e.getMessage());
    }
  }

  private static void only(Message of, Set<String> keys, String place) throws WireException {
    for (String name : of.names()) {
      if (!keys.contains(name)) {
        throw new WireException(place + name + ": unknown key");
      }
    }
  }

  private static VariantSettings settings(Message file) throws WireException {
    try {
      VariantSettings usual = VariantSettings.defaults(file.requiredText("fleet"));
      long hold = nanos(file, "hold_s", usual.holdNanos());
      return new VariantSettings(
          usual.fleet(),
          hold,
          nanos(file, "rest_s", Math.max(hold, usual.restNanos())),
          (int) number(file, "slots", usual.slots()),
          nanos(file, "slot_s", usual.slotNanos()));
    } catch (IllegalArgumentException e) {
      throw new WireException(e.getMessage());
    }
  }

  private static long nanos(Message of, String name, long absent) throws WireException {
    return (long) (number(of, name, absent / 1e9) * 1e9);
  }

  private static double number(Message of, String name, double absent) throws WireException {
    return of.has(name) ? of.requiredNumber(name) : absent;
  }

  private static VariantRule rule(Message rule, String place, VariantSettings settings)
      throws WireException {
    only(rule, RULE_KEYS, place);
    String separator = rule.requiredText("separator");
    if (separator.length() != 1) {
      throw new WireException(place + "separator must be one letter");
    }
    double maxAge = rule.requiredNumber("max_age_s");
    if (maxAge * 1e9 < settings.maxSplitDelayNanos()) {
      throw new WireException(
          place
              + "max_age_s: answers may be as old as "
              + settings.maxSplitDelayNanos() / 1e9
              + " s, hold_s and two thirds of it");
    }
    return new VariantRule(
        rule.requiredText("prefix"),
        separator.charAt(0),
        (int) number(rule, "field", -1),
        rule.text("name", null),
        rule.texts("classes"),
        Set.copyOf(rule.texts("requests")),
        !rule.flag("off"));
  }

  /** The sets of classes that count as the same, each as one text with pluses. */
  private static List<Set<String>> same(Message rule, String place) throws WireException {
    List<Set<String>> same = new ArrayList<>();
    List<String> all = new ArrayList<>();
    for (String set : rule.texts("same")) {
      List<String> classes = List.of(set.split("\\+", -1));
      for (String one : classes) {
        if (all.contains(one)) {
          throw new WireException(place + "same: '" + one + "' stands twice");
        }
        all.add(one);
      }
      same.add(Set.copyOf(classes));
    }
    return same;
  }
}
