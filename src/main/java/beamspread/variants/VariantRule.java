package beamspread.variants;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Where the keys of one family name the device class. A key belongs to the family if it begins with
 * the prefix; what follows is cut at the separator, and the class is a whole field of it: the one
 * at a position, or the rest of the first one that begins with a name. An object's variants are the
 * keys that differ in nothing else.
 *
 * @param prefix the family, by which tables name it
 * @param separator between fields
 * @param field the class's position, from 0; negative where it goes by a name
 * @param name what the class's field begins with, such as {@code device=}; null where it goes by
 *     its position
 * @param classes the device classes; the first of those that are the same stands for them
 * @param requests the request classes whose reads may be rewritten
 * @param on whether the rule is in use
 */
public record VariantRule(
    String prefix,
    char separator,
    int field,
    String name,
    List<String> classes,
    Set<String> requests,
    boolean on) {

  /** Device classes of a rule. */
  public static final int MOST_CLASSES = 64;

  /** Where a key names its class. */
  record Place(int start, int end, int deviceClass) {}

  /**
   * Checks the rule by itself; the lists are copied.
   *
   * @throws IllegalArgumentException that names the part that makes no sense
   */
  public VariantRule {
    check(isWord(prefix) && prefix.length() <= 200, "prefix must have 1 to 200 visible letters");
    check(separator > ' ' && separator < 0x7F, "separator must be one visible letter");
    check((name == null) == (field >= 0), "either a field or a name says where the class stands");
    check(field < 64, "field must be below 64");
    check(name == null || isWord(name) && name.indexOf(separator) < 0, "name can't begin a field");
    check(
        classes.size() >= 2 && classes.size() <= MOST_CLASSES,
        "classes must be 2 to " + MOST_CLASSES);
    for (String one : classes) {
      check(
          isWord(one) && one.indexOf(separator) < 0 && one.indexOf(VariantTable.JOINED) < 0,
          "classes: '" + one + "' can't be a class");
    }
    check(Set.copyOf(classes).size() == classes.size(), "classes: one stands twice");
    check(!requests.isEmpty(), "requests names no request class");
    classes = List.copyOf(classes);
    requests = Set.copyOf(requests);
  }

  private static void check(boolean holds, String problem) {
    if (!holds) {
      throw new IllegalArgumentException(problem);
    }
  }

  private static boolean isWord(String text) {
    return !text.isEmpty() && text.chars().allMatch(letter -> letter > ' ' && letter < 0x7F);
  }

  /** The numbers of the classes by name. */
  Map<String, Integer> numbers() {
    Map<String, Integer> numbers = new HashMap<>();
    for (int i = 0; i < classes.size(); i++) {
      numbers.put(classes.get(i), i);
    }
    return numbers;
  }

  /** Where a key of the family names its class; null if it names none of them. */
  Place place(String key, Map<String, Integer> numbers) {
    int start = prefix.length();
    for (int i = 0; ; i++) {
      int next = key.indexOf(separator, start);
      int end = next < 0 ? key.length() : next;
      if (name == null ? i == field : key.startsWith(name, start) && start + name.length() <= end) {
        int from = start + (name == null ? 0 : name.length());
        Integer number = numbers.get(key.substring(from, end));
        return number == null ? null : new Place(from, end, number);
      }
      if (next < 0) {
        return null;
      }
      start = next + 1;
    }
  }
}
