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

/** Where keys name their class, and what becomes of them. */
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
        new VariantKeys(VariantSettings.usual("main"), new VariantRules(List.of(rule)));
    keys.take(0, VariantTable.of("main", FIRST, Map.of(rule.prefix(), same)), 1_000_000_000);
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
  void aKeyIsAskedForUnderTheFirstClassOfItsSet(String key, String asked) throws Exception {
    VariantKeys keys = keys(byField("page/", 0), "tablet+phone", "watch+desktop");
    String canonical = keys.canonical(0, key, "read");
    assertThat(canonical == null ? key : canonical).isEqualTo(asked);
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
  void theFirstFieldOfTheNameHasTheClass(String key, String asked) throws Exception {
    VariantKeys keys = keys(byName("a/", "device="), "tablet+phone");
    String canonical = keys.canonical(0, key, "read");
    assertThat(canonical == null ? key : canonical).isEqualTo(asked);
  }

  @Test
  void aKeyThatWouldBeTooLongStaysAndIsCounted() throws Exception {
    VariantRule rule =
        new VariantRule("p/", '/', 0, null, List.of("longer", "s"), Set.of("read"), true);
    VariantKeys keys = keys(rule, "longer+s");
    String fits = "p/s/" + "x".repeat(241);
    assertThat(fits).hasSize(245);
    assertThat(asked(keys, fits)).hasSize(250);
    assertThat(asked(keys, fits + "x")).isEqualTo(fits + "x");
    assertThat(keys.counts().tooLong).isEqualTo(1);
  }

  /** What is asked for at a time at which the object is not compared. */
  private static String asked(VariantKeys keys, String key) {
    VariantKeys.Rewrite rewrite = keys.rewrite(0, key, "read");
    if (rewrite != null && rewrite.compared()) {
      throw new AssertionError("the object's turn to be compared comes in the first slot");
    }
    return rewrite == null ? key : rewrite.key();
  }

  @Test
  void rulesThatCouldMixObjectsAreRefusedWithBothKeys() {
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
  void prefixesWithinOneAnotherAreNoTroubleWhereTheClassStandsElsewhere() throws Exception {
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
  void aRuleThatMakesNoSenseNamesItsPart() {
    for (var wrong :
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
      assertThatThrownBy(wrong.getValue()::run)
          .isInstanceOf(IllegalArgumentException.class)
          .hasMessageContaining(wrong.getKey());
    }
  }

  /** Two keys are asked for as one only if they differ in nothing but the class. */
  @Property(tries = 2000)
  void rewritingIsInjectiveOverObjectsAndIdempotent(
      @ForAll @Size(min = 1, max = 5)
          List<@StringLength(max = 4) @CharRange(from = '!', to = '~') String> fields,
      @ForAll @IntRange(max = 4) int place,
      @ForAll @IntRange(max = 3) int one,
      @ForAll @IntRange(max = 3) int other,
      @ForAll boolean named)
      throws Exception {
    VariantRule rule = named ? byName("q/", "d=") : byField("q/", place);
    VariantKeys keys = keys(rule, "phone+tablet+desktop+watch");
    String first = key(fields, place, named, CLASSES.get(one));
    String second = key(fields, place, named, CLASSES.get(other));
    String firstAsked = canonical(keys, first);
    String secondAsked = canonical(keys, second);
    VariantRule.Place at = rule.place(first, rule.numbers());
    if (at == null) {
      assertThat(firstAsked).isEqualTo(first);
    } else {
      assertThat(object(first, at))
          .isEqualTo(object(firstAsked, rule.place(firstAsked, rule.numbers())));
      assertThat(firstAsked.equals(secondAsked))
          .isEqualTo(object(first, at).equals(object(second, rule.place(second, rule.numbers()))));
    }
    assertThat(canonical(keys, firstAsked)).isEqualTo(firstAsked);
    assertThat(firstAsked.chars()).allMatch(letter -> letter > ' ' && letter < 0x7F);
  }

  private static String key(List<String> fields, int place, boolean named, String deviceClass) {
    List<String> all = new ArrayList<>(fields);
    all.add(Math.min(place, all.size()), (named ? "d=" : "") + deviceClass);
    return "q/" + String.join("/", all);
  }

  private static String canonical(VariantKeys keys, String key) {
    String canonical = keys.canonical(0, key, "read");
    return canonical == null ? key : canonical;
  }

  private static String object(String key, VariantRule.Place place) {
    return place == null ? key : key.substring(0, place.start()) + " " + key.substring(place.end());
  }
}
