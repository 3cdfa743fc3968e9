package beamspread.variants;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * All variant rules. A key belongs to the family with the longest matching prefix. Rules are
 * rejected if a rewrite could turn a key of one object into a key of another one, which is the case
 * where the class of one rule is part of the longer prefix of another.
 */
public final class VariantRules {
  /** Maximum number of rules. */
  public static final int MAX_RULES = 1024;

  private final List<Family> families = new ArrayList<>();
  private final Map<String, Family> byPrefix = new HashMap<>();
  private final int[] prefixLengths;

  /** A rule with the class indexes that are looked up for each key. */
  static final class Family {
    final VariantRule rule;
    final Map<String, Integer> classIndexes;

    Family(VariantRule rule) {
      this.rule = rule;
      this.classIndexes = rule.classIndexes();
    }

    VariantRule.ClassPosition findClass(String key) {
      return rule.findClass(key, classIndexes);
    }
  }

  /**
   * Checks the rules against one another.
   *
   * @throws VariantException that names the rules, with example keys where they conflict
   */
  public VariantRules(List<VariantRule> rules) throws VariantException {
    if (rules.size() > MAX_RULES) {
      throw new VariantException("rules: " + rules.size() + " exceed the maximum of " + MAX_RULES);
    }
    TreeSet<Integer> sortedLengths = new TreeSet<>(Comparator.reverseOrder());
    for (int i = 0; i < rules.size(); i++) {
      Family family = new Family(rules.get(i));
      families.add(family);
      if (byPrefix.put(family.rule.prefix(), family) != null) {
        throw new VariantException(
            "rules[" + i + "].prefix: '" + family.rule.prefix() + "' has a rule already");
      }
      sortedLengths.add(family.rule.prefix().length());
    }
    prefixLengths = sortedLengths.stream().mapToInt(Integer::intValue).toArray();
    for (int i = 0; i < families.size(); i++) {
      checkInjective(i, families.get(i).rule);
    }
  }

  /** Rejects a rule whose prefix contains the class of another rule. */
  private void checkInjective(int ruleIndex, VariantRule longer) throws VariantException {
    for (Family shorter : families) {
      if (shorter.rule != longer && longer.prefix().startsWith(shorter.rule.prefix())) {
        checkInjective(ruleIndex, longer.prefix(), shorter.rule);
      }
    }
  }

  /** Checks that replacing the class alone cannot move a key into the prefix or out of it. */
  private static void checkInjective(int ruleIndex, String prefix, VariantRule rule)
      throws VariantException {
    String keyInPrefix = null;
    String keyOutsidePrefix = null;
    for (String deviceClass : rule.classes()) {
      String key = withClass(rule, prefix, deviceClass);
      if (key != null && key.startsWith(prefix)) {
        keyInPrefix = key;
      } else if (key != null) {
        keyOutsidePrefix = keyOutsidePrefix == null ? key : keyOutsidePrefix;
      }
    }
    if (keyInPrefix != null && keyOutsidePrefix != null) {
      throw new VariantException(
          ("rules[%d].prefix: '%s' of the family '%s' would become '%s', which is another object's,"
                  + " of the family '%s'")
              .formatted(ruleIndex, keyOutsidePrefix, rule.prefix(), keyInPrefix, prefix));
    }
  }

  /**
   * Returns a key of the rule's family with this class that otherwise follows the prefix as far as
   * possible; null if the prefix ends before the class.
   */
  private static String withClass(VariantRule rule, String prefix, String deviceClass) {
    int start = rule.prefix().length();
    for (int i = 0; ; i++) {
      int next = prefix.indexOf(rule.separator(), start);
      int end = next < 0 ? prefix.length() : next;
      boolean named =
          rule.fieldPrefix() != null
              && (prefix.startsWith(rule.fieldPrefix(), start)
                  || next < 0 && rule.fieldPrefix().startsWith(prefix.substring(start)));
      if (rule.fieldPrefix() == null ? i == rule.fieldIndex() : named) {
        String field = (rule.fieldPrefix() == null ? "" : rule.fieldPrefix()) + deviceClass;
        return prefix.substring(0, start) + field + prefix.substring(end);
      }
      if (next < 0) {
        return null;
      }
      start = next + 1;
    }
  }

  /** Returns the family of a key; null if no rule in use matches. */
  Family family(String key) {
    for (int length : prefixLengths) {
      if (length <= key.length()) {
        Family family = byPrefix.get(key.substring(0, length));
        if (family != null) {
          return family.rule.enabled() ? family : null;
        }
      }
    }
    return null;
  }

  /** Explains why no rule applies to a key; empty if one does. */
  public Optional<String> explain(String key, String requestClass) {
    Family family = family(key);
    if (family == null) {
      return Optional.of("no rule in use has a prefix of it");
    }
    String ruleName = "the rule of " + family.rule.prefix();
    if (!family.rule.requestClasses().contains(requestClass)) {
      return Optional.of(ruleName + " is not for requests of class " + requestClass);
    }
    return family.findClass(key) == null
        ? Optional.of(ruleName + " finds none of its classes in it")
        : Optional.empty();
  }

  /** Returns the rule with this prefix; null if there is none. */
  public VariantRule rule(String prefix) {
    Family family = byPrefix.get(prefix);
    return family == null ? null : family.rule;
  }

  /** Returns the rules in their configured order. */
  public List<VariantRule> all() {
    return families.stream().map(family -> family.rule).toList();
  }
}
