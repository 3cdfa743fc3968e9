package beamspread.variants;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Defines where the keys of one family name the device class. A key belongs to the family if it
 * begins with the prefix. The rest of the key is split at the separator, and the class is a whole
 * field: the one at an index, or the rest of the first field that begins with a given text. The
 * variants of an object are the keys that differ only in the class.
 *
 * @param prefix prefix of the keys, which also names the family in tables
 * @param separator between fields
 * @param fieldIndex index of the field with the class, from 0; negative if the field is found by
 *     its text
 * @param fieldPrefix text with which the field begins, such as {@code device=}; null if the field
 *     is found by its index
 * @param classes the device classes; the first of a set of equivalent ones represents the others
 * @param requestClasses the request classes whose reads may be rewritten
 * @param enabled whether the rule is in use
 */
public record VariantRule(
    String prefix,
    char separator,
    int fieldIndex,
    String fieldPrefix,
    List<String> classes,
    Set<String> requestClasses,
    boolean enabled) {

  /** Maximum number of device classes of a rule. */
  public static final int MAX_CLASSES = 64;

  /** The position of the class in a key, and the index of that class. */
  record ClassPosition(int start, int end, int classIndex) {}

  /**
   * Checks the rule and copies the collections.
   *
   * @throws IllegalArgumentException that names the invalid part
   */
  public VariantRule {
    check(
        isVisibleAscii(prefix) && prefix.length() <= 200,
        "prefix must have 1 to 200 visible ASCII characters");
    check(separator > ' ' && separator < 0x7F, "separator must be one visible ASCII character");
    check(
        (fieldPrefix == null) == (fieldIndex >= 0),
        "either a field or a name says where the class stands");
    check(fieldIndex < 64, "field must be below 64");
    check(
        fieldPrefix == null || isVisibleAscii(fieldPrefix) && fieldPrefix.indexOf(separator) < 0,
        "name must be visible ASCII without the separator");
    check(
        classes.size() >= 2 && classes.size() <= MAX_CLASSES,
        "classes must be 2 to " + MAX_CLASSES);
    for (String deviceClass : classes) {
      check(
          isVisibleAscii(deviceClass)
              && deviceClass.indexOf(separator) < 0
              && deviceClass.indexOf(VariantTable.CLASS_SEPARATOR) < 0,
          "classes: '" + deviceClass + "' is not a valid class name");
    }
    check(Set.copyOf(classes).size() == classes.size(), "classes: a class is named twice");
    check(!requestClasses.isEmpty(), "requests names no request class");
    classes = List.copyOf(classes);
    requestClasses = Set.copyOf(requestClasses);
  }

  private static void check(boolean valid, String problem) {
    if (!valid) {
      throw new IllegalArgumentException(problem);
    }
  }

  private static boolean isVisibleAscii(String text) {
    return !text.isEmpty() && text.chars().allMatch(letter -> letter > ' ' && letter < 0x7F);
  }

  /** Returns the indexes of the classes by name. */
  Map<String, Integer> classIndexes() {
    Map<String, Integer> indexes = new HashMap<>();
    for (int i = 0; i < classes.size(); i++) {
      indexes.put(classes.get(i), i);
    }
    return indexes;
  }

  /** Finds the class in a key of the family; null if the key names none of the classes. */
  ClassPosition findClass(String key, Map<String, Integer> classIndexes) {
    int start = prefix.length();
    for (int i = 0; ; i++) {
      int next = key.indexOf(separator, start);
      int end = next < 0 ? key.length() : next;
      if (fieldPrefix == null
          ? i == fieldIndex
          : key.startsWith(fieldPrefix, start) && start + fieldPrefix.length() <= end) {
        int classStart = start + (fieldPrefix == null ? 0 : fieldPrefix.length());
        Integer classIndex = classIndexes.get(key.substring(classStart, end));
        return classIndex == null ? null : new ClassPosition(classStart, end, classIndex);
      }
      if (next < 0) {
        return null;
      }
      start = next + 1;
    }
  }
}
