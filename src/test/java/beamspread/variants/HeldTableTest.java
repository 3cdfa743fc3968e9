package beamspread.variants;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Versions of a table: what is taken, and for how long it holds. */
class HeldTableTest {
  private static VariantTable table(long token, long number, String... classes) {
    return VariantTable.of(
        "main",
        new VariantVersion(token, number),
        classes.length == 0 ? Map.of() : Map.of("page/", List.of(Set.of(classes))));
  }

  @Test
  void versionsOnlyGoUpAndATableHoldsUntilItsEndAndNotLonger() {
    HeldTable held = new HeldTable("main");
    assertThat(held.inForce(0)).isNull();
    assertThat(held.take(0, table(2, 5, "phone", "watch"), 100)).isEqualTo(HeldTable.Taken.NEW);
    assertThat(held.take(10, table(2, 5, "phone", "watch"), 150))
        .isEqualTo(HeldTable.Taken.RENEWED);
    assertThat(held.take(10, table(2, 5, "phone", "tablet"), 200))
        .isEqualTo(HeldTable.Taken.OTHER_CONTENT);
    assertThat(held.take(10, table(2, 4, "phone", "watch"), 200)).isEqualTo(HeldTable.Taken.OLDER);
    assertThat(held.take(10, table(1, 9, "phone", "watch"), 200)).isEqualTo(HeldTable.Taken.OLDER);
    assertThat(held.renew(20, new VariantVersion(2, 4), 500)).isEqualTo(HeldTable.Taken.OLDER);
    assertThat(held.renew(20, new VariantVersion(2, 5), 120)).isEqualTo(HeldTable.Taken.RENEWED);
    assertThat(held.inForce(149)).isNotNull();
    assertThat(held.inForce(150)).isNull();
    assertThat(held.leftNanos(150)).isZero();
    assertThat(held.highest()).isEqualTo(new VariantVersion(2, 5));
    assertThat(held.renew(160, new VariantVersion(2, 5), 300)).isEqualTo(HeldTable.Taken.RENEWED);
    assertThat(held.inForce(299)).isNotNull();
    assertThat(held.take(200, table(3, 1), 250)).isEqualTo(HeldTable.Taken.NEW);
    assertThat(held.leftNanos(200)).isEqualTo(50);
  }

  @Test
  void aNewVersionThatCameTooLateEndsTheOneBefore() {
    HeldTable held = new HeldTable("main");
    held.take(0, table(2, 5, "phone", "watch"), 100);
    assertThat(held.take(50, table(2, 6), 40)).isEqualTo(HeldTable.Taken.LAPSED);
    assertThat(held.inForce(60)).isNull();
    assertThat(held.take(60, table(2, 5, "phone", "watch"), 200)).isEqualTo(HeldTable.Taken.OLDER);
  }

  @Test
  void aTableOfAnotherFleetIsNotTaken() {
    HeldTable held = new HeldTable("other");
    assertThat(held.take(0, table(1, 1), 100)).isEqualTo(HeldTable.Taken.OTHER_FLEET);
    assertThat(held.highest()).isEqualTo(VariantVersion.NONE);
  }

  @Test
  void theTimeAtADeskCountsFromTheClockThatTheOwnerRead() {
    VariantDesk desk = new VariantDesk("main");
    assertThat(desk.offer(500, table(1, 1), 100, 300)).isEqualTo(HeldTable.Taken.LAPSED);
    assertThat(desk.offer(500, table(1, 2), 450, 300)).isEqualTo(HeldTable.Taken.NEW);
    assertThat(desk.held().leftNanos(500)).isEqualTo(250);
    desk.heard(500, "n1", VariantVersion.NONE, Set.of("page/"));
    desk.heard(600, "n2", VariantVersion.NONE, Set.of("list/"));
    assertThat(desk.split(700, 150)).containsExactly("list/");
  }

  @Test
  void aTableSurvivesItsTextAndNothingElseIsOne() throws Exception {
    VariantTable whole =
        VariantTable.of(
            "main",
            new VariantVersion(7, 3),
            Map.of(
                "page/", List.of(Set.of("phone", "watch"), Set.of("desktop", "tablet")),
                "list/", List.of(Set.of("phone", "tablet"))));
    VariantTable read = VariantTable.parse(whole.text(), whole.digest());
    assertThat(read.rows()).isEqualTo(whole.rows());
    assertThat(read.version()).isEqualTo(whole.version());
    assertThat(read.digest()).isEqualTo(whole.digest());
    for (int end = 0; end < whole.text().length(); end++) {
      String cut = whole.text().substring(0, end);
      assertThatThrownBy(() -> VariantTable.parse(cut, whole.digest()))
          .hasMessageContaining("digest");
      assertThatThrownBy(() -> VariantTable.parse(cut, digestOf(cut)))
          .as("cut at %s", cut.length())
          .isInstanceOf(VariantException.class);
    }
  }

  /** The digest that a text would need, from the message of its refusal. */
  private static String digestOf(String text) {
    try {
      VariantTable.parse(text, "");
      throw new AssertionError("taken without a digest");
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
  void aWrongRowIsNamedByItsLine(String rowsAndPlace) {
    String[] parts = rowsAndPlace.split("\\|");
    String rows = parts[0];
    String text =
        "variants 1\nfleet main\nversion 1 1\n" + rows + "\nend " + rows.split("\n").length + "\n";
    assertThatThrownBy(() -> VariantTable.parse(text, digestOf(text)))
        .hasMessageContaining(parts[1]);
  }

  @Test
  void whatTheRulesLackIsNamed() throws Exception {
    VariantRules rules = new VariantRules(List.of(VariantRulesTest.byField("page/", 0)));
    assertThatThrownBy(() -> table(1, 1, "phone", "fridge").check(rules))
        .hasMessage("row page/: the rule has no class 'fridge'");
    VariantTable other =
        VariantTable.of("main", new VariantVersion(1, 1), Map.of("x/", List.of(Set.of("a", "b"))));
    assertThatThrownBy(() -> other.check(rules)).hasMessageContaining("no rule of this prefix");
  }
}
