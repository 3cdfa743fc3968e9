package beamspread.variants;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests where keys name their class and how they are rewritten. */
class VariantRulesTest {
  private static final List<String> CLASSES = List.of("phone", "tablet", "desktop", "watch");
  private static final VariantVersion FIRST = new VariantVersion(1, 1);

  static VariantRule byField(String prefix, int field) {
    return new VariantRule(prefix, '/', field, null, CLASSES, Set.of("read"), true);
  }

  static VariantRule byName(String prefix, String name) {
    return new VariantRule(prefix, '/', -1, name, CLASSES, Set.of("read"), true);
  }

  private static VariantKeys keys(VariantRule rule, String... sets) throws Exception {
    List<Set<String>> same = new ArrayList<>();
    for (String set : sets) {
      same.add(Set.of(set.split("\\+")));
    }
    VariantKeys keys =
        new VariantKeys(VariantSettings.defaults("main"), new VariantRules(List.of(rule)));
    keys.offer(0, VariantTable.of("main", FIRST, Map.of(rule.prefix(), same)), 1_000_000_000);
    return keys;
  }

  @ParameterizedTest
  @CsvSource({
    "page/phone/17,page/phone/17",
    "page/tablet/17,page/phone/17",
    "page/desktop/17,page/desktop/17",
    "page/watch/17,page/desktop/17",
    "page/watch,page/desktop",
    "page/tablet/phone,page/phone/phone",
    "page/,page/",
    "page/fridge/17,page/fridge/17",
    "page/Tablet/17,page/Tablet/17",
    "page/tablets/17,page/tablets/17",
    "pages/tablet/17,pages/tablet/17",
  })
  void rewritesKeyToFirstClassOfItsSet(String key, String expected) throws Exception {
    VariantKeys keys = keys(byField("page/", 0), "tablet+phone", "watch+desktop");
    String canonical = keys.canonical(0, key, "read");
    assertThat(canonical == null ? key : canonical).isEqualTo(expected);
    assertThat(keys.canonical(0, key, "other class")).isNull();
  }

  @ParameterizedTest
  @CsvSource({
    "a/x/device=tablet/y,a/x/device=phone/y",
    "a/device=tablet,a/device=phone",
    "a/device=/device=tablet,a/device=/device=tablet",
    "a/device=tablet/device=tablet,a/device=phone/device=tablet",
    "a/mydevice=tablet,a/mydevice=tablet",
    "a/device,a/device",
  })
  void findsClassInFirstFieldWithPrefix(String key, String expected) throws Exception {
    VariantKeys keys = keys(byName("a/", "device="), "tablet+phone");
    String canonical = keys.canonical(0, key, "read");
    assertThat(canonical == null ? key : canonical).isEqualTo(expected);
  }

  @Test
  void keepsAndCountsKeyWhoseCanonicalKeyIsTooLong() throws Exception {
    VariantRule rule =
        new VariantRule("p/", '/', 0, null, List.of("longer", "s"), Set.of("read"), true);
    VariantKeys keys = keys(rule, "longer+s");
    String fits = "p/s/" + "x".repeat(241);
    assertThat(fits).hasSize(245);
    assertThat(requestedKey(keys, fits)).hasSize(250);
    assertThat(requestedKey(keys, fits + "x")).isEqualTo(fits + "x");
    assertThat(keys.counts().tooLong).isEqualTo(1);
  }

  /** Returns the key that is requested while the object is not being compared. */
  private static String requestedKey(VariantKeys keys, String key) {
    VariantKeys.Rewrite rewrite = keys.rewrite(0, key, "read");
    if (rewrite != null && rewrite.compared()) {
      throw new AssertionError("the object is due to be compared in the first slot");
    }
    return rewrite == null ? key : rewrite.key();
  }

  @Test
  void rejectsRulesThatCouldConfuseObjectsNamingBothKeys() {
    assertThatThrownBy(() -> new VariantRules(List.of(byField("a/phone/", 0), byField("a/", 0))))
        .isInstanceOf(VariantException.class)
        .hasMessageContainingAll(
            "rules[0].prefix", "'a/tablet/'", "'a/phone/'", "another object's");
    assertThatThrownBy(() -> new VariantRules(List.of(byField("a/", 0), byField("a/ph", 0))))
        .hasMessageContainingAll("rules[1].prefix", "'a/phone'");
    assertThatThrownBy(
            () ->
                new VariantRules(List.of(byName("a/", "device="), byField("a/x/device=watch/", 0))))
        .hasMessageContainingAll("a/x/device=phone/", "a/x/device=watch/");
    assertThatThrownBy(() -> new VariantRules(List.of(byField("a/", 0), byField("a/", 1))))
        .hasMessage("rules[1].prefix: 'a/' has a rule already");
  }

  @Test
  void acceptsNestedPrefixesThatDoNotContainTheClass() throws Exception {
    VariantRules rules = new VariantRules(List.of(byField("a/", 1), byField("a/b/", 1)));
    assertThat(rules.family("a/x/phone").rule.prefix()).isEqualTo("a/");
    assertThat(rules.family("a/b/x/phone").rule.prefix()).isEqualTo("a/b/");
    assertThat(rules.family("b/x")).isNull();
    assertThat(rules.explain("b/x", "read")).contains("no rule in use has a prefix of it");
    assertThat(rules.explain("a/x/phone", "put"))
        .hasValueSatisfying(why -> assertThat(why).contains("put"));
    assertThat(rules.explain("a/x/y", "read"))
        .hasValueSatisfying(why -> assertThat(why).contains("classes"));
    assertThat(rules.explain("a/x/phone", "read")).isEmpty();
  }

  @Test
  void rejectsInvalidRuleNamingItsPart() {
    for (var invalidRule :
        Map.<String, Runnable>of(
                "prefix", () -> byField("a b", 0),
                "separator", () -> new VariantRule("a", ' ', 0, null, CLASSES, Set.of("r"), true),
                "either", () -> new VariantRule("a", '/', 0, "x", CLASSES, Set.of("r"), true),
                "name", () -> byName("a", "x/y"),
                "2 to 64",
                    () -> new VariantRule("a", '/', 0, null, List.of("x"), Set.of("r"), true),
                "'x+y'",
                    () ->
                        new VariantRule("a", '/', 0, null, List.of("x+y", "z"), Set.of("r"), true),
                "twice",
                    () -> new VariantRule("a", '/', 0, null, List.of("x", "x"), Set.of("r"), true),
                "request", () -> new VariantRule("a", '/', 0, null, CLASSES, Set.of(), true))
            .entrySet()) {
      assertThatThrownBy(invalidRule.getValue()::run)
          .isInstanceOf(IllegalArgumentException.class)
          .hasMessageContaining(invalidRule.getKey());
    }
  }

  /** Two keys have the same canonical key only if they differ in nothing but the class. */
  @Property(tries = 2000)
  void rewritingIsInjectiveOverObjectsAndIdempotent(
      @ForAll @Size(min = 1, max = 5)
          List<@StringLength(max = 4) @CharRange(from = '!', to = '~') String> fields,
      @ForAll @IntRange(max = 4) int fieldIndex,
      @ForAll @IntRange(max = 3) int firstClass,
      @ForAll @IntRange(max = 3) int secondClass,
      @ForAll boolean named)
      throws Exception {
    VariantRule rule = named ? byName("q/", "d=") : byField("q/", fieldIndex);
    VariantKeys keys = keys(rule, "phone+tablet+desktop+watch");
    String first = key(fields, fieldIndex, named, CLASSES.get(firstClass));
    String second = key(fields, fieldIndex, named, CLASSES.get(secondClass));
    String firstCanonical = canonical(keys, first);
    String secondCanonical = canonical(keys, second);
    VariantRule.ClassPosition position = rule.findClass(first, rule.classIndexes());
    if (position == null) {
      assertThat(firstCanonical).isEqualTo(first);
    } else {
      assertThat(object(first, position))
          .isEqualTo(object(firstCanonical, rule.findClass(firstCanonical, rule.classIndexes())));
      assertThat(firstCanonical.equals(secondCanonical))
          .isEqualTo(
              object(first, position)
                  .equals(object(second, rule.findClass(second, rule.classIndexes()))));
    }
    assertThat(canonical(keys, firstCanonical)).isEqualTo(firstCanonical);
    assertThat(firstCanonical.chars()).allMatch(letter -> letter > ' ' && letter < 0x7F);
  }

  private static String key(
      List<String> fields, int fieldIndex, boolean named, String deviceClass) {
    List<String> all = new ArrayList<>(fields);
    all.add(Math.min(fieldIndex, all.size()), (named ? "d=" : "") + deviceClass);
    return "q/" + String.join("/", all);
  }

  private static String canonical(VariantKeys keys, String key) {
    String canonical = keys.canonical(0, key, "read");
    return canonical == null ? key : canonical;
  }

  private static String object(String key, VariantRule.ClassPosition position) {
    return position == null
        ? key
        : key.substring(0, position.start()) + " " + key.substring(position.end());
  }
}
