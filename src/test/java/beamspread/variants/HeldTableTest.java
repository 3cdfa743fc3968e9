package beamspread.variants;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which versions of a table are accepted, for how long they are valid, and the text format.
 */
class HeldTableTest {
  private static VariantTable table(long token, long number, String... classes) {
    return VariantTable.of(
        "main",
        new VariantVersion(token, number),
        classes.length == 0 ? Map.of() : Map.of("page/", List.of(Set.of(classes))));
  }

  @Test
  void acceptsOnlyHigherVersionsAndExpiresTables() {
    HeldTable held = new HeldTable("main");
    assertThat(held.inForce(0)).isNull();
    assertThat(held.offer(0, table(2, 5, "phone", "watch"), 100))
        .isEqualTo(HeldTable.OfferResult.NEW);
    assertThat(held.offer(10, table(2, 5, "phone", "watch"), 150))
        .isEqualTo(HeldTable.OfferResult.RENEWED);
    assertThat(held.offer(10, table(2, 5, "phone", "tablet"), 200))
        .isEqualTo(HeldTable.OfferResult.OTHER_CONTENT);
    assertThat(held.offer(10, table(2, 4, "phone", "watch"), 200))
        .isEqualTo(HeldTable.OfferResult.OLDER);
    assertThat(held.offer(10, table(1, 9, "phone", "watch"), 200))
        .isEqualTo(HeldTable.OfferResult.OLDER);
    assertThat(held.renew(20, new VariantVersion(2, 4), 500))
        .isEqualTo(HeldTable.OfferResult.OLDER);
    assertThat(held.renew(20, new VariantVersion(2, 5), 120))
        .isEqualTo(HeldTable.OfferResult.RENEWED);
    assertThat(held.inForce(149)).isNotNull();
    assertThat(held.inForce(150)).isNull();
    assertThat(held.remainingNanos(150)).isZero();
    assertThat(held.highestVersion()).isEqualTo(new VariantVersion(2, 5));
    assertThat(held.renew(160, new VariantVersion(2, 5), 300))
        .isEqualTo(HeldTable.OfferResult.RENEWED);
    assertThat(held.inForce(299)).isNotNull();
    assertThat(held.offer(200, table(3, 1), 250)).isEqualTo(HeldTable.OfferResult.NEW);
    assertThat(held.remainingNanos(200)).isEqualTo(50);
  }

  @Test
  void newVersionThatArrivesExpiredEndsThePreviousOne() {
    HeldTable held = new HeldTable("main");
    held.offer(0, table(2, 5, "phone", "watch"), 100);
    assertThat(held.offer(50, table(2, 6), 40)).isEqualTo(HeldTable.OfferResult.LAPSED);
    assertThat(held.inForce(60)).isNull();
    assertThat(held.offer(60, table(2, 5, "phone", "watch"), 200))
        .isEqualTo(HeldTable.OfferResult.OLDER);
  }

  @Test
  void rejectsTableOfAnotherFleet() {
    HeldTable held = new HeldTable("other");
    assertThat(held.offer(0, table(1, 1), 100)).isEqualTo(HeldTable.OfferResult.OTHER_FLEET);
    assertThat(held.highestVersion()).isEqualTo(VariantVersion.NONE);
  }

  @Test
  void relayCountsValidityFromClockReadByOwner() {
    VariantTableRelay relay = new VariantTableRelay("main");
    assertThat(relay.offer(500, table(1, 1), 100, 300)).isEqualTo(HeldTable.OfferResult.LAPSED);
    assertThat(relay.offer(500, table(1, 2), 450, 300)).isEqualTo(HeldTable.OfferResult.NEW);
    assertThat(relay.held().remainingNanos(500)).isEqualTo(250);
    relay.recordNodeReport(500, "n1", VariantVersion.NONE, Set.of("page/"));
    relay.recordNodeReport(600, "n2", VariantVersion.NONE, Set.of("list/"));
    assertThat(relay.splitFamilies(700, 150)).containsExactly("list/");
  }

  @Test
  void parsesItsOwnTextAndRejectsTruncatedText() throws Exception {
    VariantTable table =
        VariantTable.of(
            "main",
            new VariantVersion(7, 3),
            Map.of(
                "page/", List.of(Set.of("phone", "watch"), Set.of("desktop", "tablet")),
                "list/", List.of(Set.of("phone", "tablet"))));
    VariantTable parsed = VariantTable.parse(table.text(), table.digest());
    assertThat(parsed.rows()).isEqualTo(table.rows());
    assertThat(parsed.version()).isEqualTo(table.version());
    assertThat(parsed.digest()).isEqualTo(table.digest());
    for (int end = 0; end < table.text().length(); end++) {
      String cut = table.text().substring(0, end);
      assertThatThrownBy(() -> VariantTable.parse(cut, table.digest()))
          .hasMessageContaining("digest");
      assertThatThrownBy(() -> VariantTable.parse(cut, digestOf(cut)))
          .as("cut at %s", cut.length())
          .isInstanceOf(VariantException.class);
    }
  }

  /** Returns the digest of a text, read from the error message of its rejection. */
  private static String digestOf(String text) {
    try {
      VariantTable.parse(text, "");
      throw new AssertionError("accepted without a digest");
    } catch (VariantException e) {
      return e.getMessage().replaceAll(".*it is ", "");
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "row page/ phone+phone|line 4",
        "row page/ phone+|line 4",
        "row page/|line 4",
        "line|line 4",
        "row page/ phone+watch\nrow page/ desktop+tablet|line 5",
      })
  void rejectsInvalidRowNamingItsLine(String rowsAndLine) {
    String[] parts = rowsAndLine.split("\\|");
    String rows = parts[0];
    String text =
        "variants 1\nfleet main\nversion 1 1\n" + rows + "\nend " + rows.split("\n").length + "\n";
    assertThatThrownBy(() -> VariantTable.parse(text, digestOf(text)))
        .hasMessageContaining(parts[1]);
  }

  @Test
  void rejectsTableWithClassOrFamilyThatRulesLack() throws Exception {
    VariantRules rules = new VariantRules(List.of(VariantRulesTest.byField("page/", 0)));
    assertThatThrownBy(() -> table(1, 1, "phone", "fridge").check(rules))
        .hasMessage("row page/: the rule has no class 'fridge'");
    VariantTable other =
        VariantTable.of("main", new VariantVersion(1, 1), Map.of("x/", List.of(Set.of("a", "b"))));
    assertThatThrownBy(() -> other.check(rules)).hasMessageContaining("no rule with this prefix");
  }
}
