package beamspread.variants;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * All rules. A key belongs to the family of the longest prefix that it begins with. They are
 * refused where a rewrite could turn a key of one object into a key that is another object's: where
 * the class of one rule stands within the longer prefix of another.
 */
public final class VariantRules {
  /** Rules at most. */
  public static final int MOST_RULES = 1024;

  private final List<Family> families = new ArrayList<>();
  private final Map<String, Family> byPrefix = new HashMap<>();
  private final int[] lengths;

  /** A rule with what is looked up for each key. */
  static final class Family {
    final VariantRule rule;
    final Map<String, Integer> numbers;

    Family(VariantRule rule) {
      this.rule = rule;
      this.numbers = rule.numbers();
    }

    VariantRule.Place place(String key) {
      return rule.place(key, numbers);
    }
  }

  /**
   * Checks rules against one another.
   *
   * @throws VariantException that names the rules, with keys of theirs where they clash
   */
  public VariantRules(List<VariantRule> rules) throws VariantException {
    if (rules.size() > MOST_RULES) {
      throw new VariantException("rules: " + rules.size() + " are more than " + MOST_RULES);
    }
    TreeSet<Integer> all = new TreeSet<>(Comparator.reverseOrder());
    for (int i = 0; i < rules.size(); i++) {
      Family family = new Family(rules.get(i));
      families.add(family);
      if (byPrefix.put(family.rule.prefix(), family) != null) {
        throw new VariantException(
            "rules[" + i + "].prefix: '" + family.rule.prefix() + "' has a rule already");
      }
      all.add(family.rule.prefix().length());
    }
    lengths = all.stream().mapToInt(Integer::intValue).toArray();
    for (int i = 0; i < families.size(); i++) {
      checkInjective(i, families.get(i).rule);
    }
  }

  /** Refuses a rule within whose prefix the class of another rule stands. */
  private void checkInjective(int number, VariantRule longer) throws VariantException {
    for (Family shorter : families) {
      if (shorter.rule != longer && longer.prefix().startsWith(shorter.rule.prefix())) {
        checkInjective(number, longer.prefix(), shorter.rule);
      }
    }
  }

  /** A key must not get into a prefix, or out of it, by its class alone. */
  private static void checkInjective(int number, String prefix, VariantRule rule)
      throws VariantException {
    String within = null;
    String without = null;
    for (String one : rule.classes()) {
      String key = withClass(rule, prefix, one);
      if (key != null && key.startsWith(prefix)) {
        within = key;
      } else if (key != null) {
        without = without == null ? key : without;
      }
    }
    if (within != null && without != null) {
      throw new VariantException(
          ("rules[%d].prefix: '%s' of the family '%s' would become '%s', which is another object's,"
                  + " of the family '%s'")
              .formatted(number, without, rule.prefix(), within, prefix));
    }
  }

  /** A key of a rule's family that begins as a prefix does as far as it can, with this class. */
  private static String withClass(VariantRule rule, String prefix, String deviceClass) {
    int start = rule.prefix().length();
    for (int i = 0; ; i++) {
      int next = prefix.indexOf(rule.separator(), start);
      int end = next < 0 ? prefix.length() : next;
      boolean named =
          rule.name() != null
              && (prefix.startsWith(rule.name(), start)
                  || next < 0 && rule.name().startsWith(prefix.substring(start)));
      if (rule.name() == null ? i == rule.field() : named) {
        String field = (rule.name() == null ? "" : rule.name()) + deviceClass;
        return prefix.substring(0, start) + field + prefix.substring(end);
      }
      if (next < 0) {
        return null;
      }
      start = next + 1;
    }
  }

  /** The family of a key; null if no rule fits. */
  Family family(String key) {
    for (int length : lengths) {
      if (length <= key.length()) {
        Family family = byPrefix.get(key.substring(0, length));
        if (family != null) {
          return family.rule.on() ? family : null;
        }
      }
    }
    return null;
  }

  /** Why no rule concerns a key; empty where one does. */
  public Optional<String> explain(String key, String requestClass) {
    Family family = family(key);
    if (family == null) {
      return Optional.of("no rule in use has a prefix of it");
    }
    String of = "the rule of " + family.rule.prefix();
    if (!family.rule.requests().contains(requestClass)) {
      return Optional.of(of + " is not for requests of class " + requestClass);
    }
    return family.place(key) == null
        ? Optional.of(of + " finds none of its classes in it")
        : Optional.empty();
  }

  /** The rule of this prefix; null if there is none. */
  public VariantRule rule(String prefix) {
    Family family = byPrefix.get(prefix);
    return family == null ? null : family.rule;
  }

  /** The rules in their order. */
  public List<VariantRule> all() {
    return families.stream().map(family -> family.rule).toList();
  }
}
