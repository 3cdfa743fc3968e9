package beamspread.variants;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Canonical keys at a node: only while the table holds, and never beside a doubt. */
class VariantKeysTest {
  private static final long SECOND = 1_000_000_000;
  private static final VariantSettings SETTINGS =
      new VariantSettings("main", SECOND, 5 * SECOND, 4, SECOND / 4);

  private VariantKeys keys;

  @BeforeEach
  void takeATable() throws Exception {
    keys =
        new VariantKeys(SETTINGS, new VariantRules(List.of(VariantRulesTest.byField("page/", 0))));
    keys.take(0, table(1, "phone", "tablet"), 100 * SECOND);
  }

  private static VariantTable table(long number, String... classes) {
    return VariantTable.of(
        "main", new VariantVersion(1, number), Map.of("page/", List.of(Set.of(classes))));
  }

  private static ValueHash hash(String value) {
    return new ValueHash.Builder()
        .add(ByteBuffer.wrap(value.getBytes(StandardCharsets.UTF_8)))
        .build();
  }

  /** An object's time within a round at which it is compared, or at which it is not. */
  private long turn(String object, boolean compared) {
    for (long at = 0; at < SECOND; at += SECOND / 4) {
      VariantKeys.Rewrite rewrite = keys.rewrite(at, "page/tablet/" + object, "read");
      if (rewrite != null && rewrite.compared() == compared) {
        return at;
      }
    }
    throw new AssertionError("no such turn of " + object);
  }

  @Test
  void aKeyIsReplacedWhileTheTableHoldsAndNotLongerThanTheSettingsHaveIt() {
    long at = turn("1", false);
    assertThat(keys.rewrite(at, "page/tablet/1", "read").key()).isEqualTo("page/phone/1");
    assertThat(keys.rewrite(at, "page/phone/1", "read")).isNull();
    assertThat(keys.rewrite(at, "page/watch/1", "read")).isNull();
    assertThat(keys.rewrite(SECOND, "page/tablet/1", "read")).isNull();
    keys.renew(SECOND, new VariantVersion(1, 1), SECOND + SECOND / 2);
    assertThat(keys.rewrite(SECOND + at / 2, "page/tablet/1", "read")).isNotNull();
    assertThat(keys.rewrite(2 * SECOND, "page/tablet/1", "read")).isNull();
  }

  @Test
  void oneValueThatDiffersSplitsTheFamilyAtOnce() {
    long at = turn("1", true);
    VariantKeys.Rewrite tablet = keys.rewrite(at, "page/tablet/1", "read");
    assertThat(tablet.key()).isEqualTo("page/tablet/1");
    VariantKeys.Rewrite phone = keys.rewrite(at, "page/phone/1", "read");
    keys.answered(at, tablet, hash("the same"));
    keys.answered(at, phone, hash("the same"));
    assertThat(keys.split(at)).isEmpty();
    keys.answered(at, phone, hash("another"));
    assertThat(keys.split(at)).containsExactly("page/");
    assertThat(keys.counts().differed).isEqualTo(1);
    assertThat(keys.rewrite(turnless(at), "page/tablet/1", "read")).isNull();
    keys.renew(6 * SECOND, new VariantVersion(1, 1), 7 * SECOND);
    assertThat(keys.split(at + 5 * SECOND)).isEmpty();
    assertThat(keys.rewrite(6 * SECOND + turnless(at), "page/tablet/1", "read").key())
        .isEqualTo("page/phone/1");
  }

  private static long turnless(long compared) {
    return (compared + SECOND / 4) % SECOND;
  }

  @Test
  void anEmptyValueIsAValueAndValuesOfTwoRoundsAreNotCompared() {
    long at = turn("1", true);
    VariantKeys.Rewrite phone = keys.rewrite(at, "page/phone/1", "read");
    keys.answered(at, phone, hash("old"));
    keys.answered(at + SECOND, phone, hash("new"));
    assertThat(keys.split(at + SECOND)).isEmpty();
    keys.answered(at + SECOND, phone, hash(""));
    assertThat(keys.split(at + SECOND)).containsExactly("page/");
  }

  @Test
  void aValueInPartsHasTheHashOfTheWhole() {
    ValueHash parts =
        new ValueHash.Builder()
            .add(ByteBuffer.wrap("one ".getBytes(StandardCharsets.UTF_8)))
            .add(ByteBuffer.allocate(0))
            .add(ByteBuffer.wrap("value".getBytes(StandardCharsets.UTF_8)))
            .build();
    assertThat(parts).isEqualTo(hash("one value")).isNotEqualTo(hash("one valuE"));
  }

  @Test
  void aWriteSplitsItsFamilyWhateverItsClass() {
    keys.written(0, "other/phone/1");
    assertThat(keys.split(0)).isEmpty();
    keys.written(0, "page/watch/1");
    assertThat(keys.split(0)).containsExactly("page/");
    assertThat(keys.rewrite(turnless(0), "page/tablet/1", "read")).isNull();
  }

  @Test
  void aTableWithWhatTheRulesLackChangesNothing() throws Exception {
    assertThatThrownBy(() -> keys.take(0, table(2, "phone", "fridge"), SECOND))
        .isInstanceOf(VariantException.class);
    assertThat(keys.take(0, table(1, "phone", "watch"), SECOND))
        .isEqualTo(HeldTable.Taken.OTHER_CONTENT);
    assertThat(keys.held().highest()).isEqualTo(new VariantVersion(1, 1));
    assertThat(keys.counts().refused).isEqualTo(2);
    assertThat(keys.rewrite(turn("1", false), "page/tablet/1", "read").key())
        .isEqualTo("page/phone/1");
  }

  @Test
  void aNewOwnerMergesNothingBeforeItHasHeardAllAgentsOrWaited() {
    var rows = Map.of("page/", List.of(Set.of("phone", "tablet")));
    VariantOwner owner = new VariantOwner(SETTINGS, 4, rows, Set.of("a1", "a2"), 0);
    assertThat(owner.table(0).rows()).isEmpty();
    owner.heard(0, "a1", Set.of());
    assertThat(owner.table(0).rows()).isEmpty();
    assertThat(owner.table(2 * SECOND).rows()).isEqualTo(rows);
    VariantOwner other = new VariantOwner(SETTINGS, 5, rows, Set.of("a1", "a2"), 0);
    other.heard(0, "a1", Set.of());
    other.heard(0, "a2", Set.of());
    assertThat(other.table(0).rows()).isEqualTo(rows);
  }

  @Test
  void anOwnerLeavesOutWhatNodesLeaveAloneUntilTheyRest() {
    VariantOwner owner =
        new VariantOwner(
            SETTINGS, 4, Map.of("page/", List.of(Set.of("phone", "tablet"))), Set.of("a1"), 0);
    owner.heard(0, "a1", Set.of());
    VariantTable first = owner.table(0);
    assertThat(first.version()).isEqualTo(new VariantVersion(4, 1));
    assertThat(owner.table(SECOND)).isSameAs(first);
    owner.heard(SECOND, "a1", Set.of("page/"));
    assertThat(owner.table(SECOND).rows()).isEmpty();
    assertThat(owner.table(5 * SECOND).version()).isEqualTo(new VariantVersion(4, 2));
    assertThat(owner.table(6 * SECOND).rows()).isEqualTo(first.rows());
    owner.use(Map.of());
    assertThat(owner.table(7 * SECOND).rows()).isEmpty();
    assertThat(owner.table(7 * SECOND).version()).isEqualTo(new VariantVersion(4, 4));
  }

  @Test
  void aFamilyThatOperatorsKeepSplitIsLeftOutUntilAllAgentsAllowIt() {
    var rows = Map.of("page/", List.of(Set.of("phone", "tablet")));
    VariantOwner owner = new VariantOwner(SETTINGS, 4, rows, Set.of("a1", "a2"), 0);
    owner.heard(0, "a1", Set.of());
    owner.heard(0, "a2", Set.of());
    owner.kept("a1", Set.of("page/"));
    owner.kept("a2", Set.of("page/"));
    assertThat(owner.table(0).rows()).isEmpty();
    owner.kept("a1", Set.of());
    assertThat(owner.table(100 * SECOND).rows()).as("a2 keeps it, for however long").isEmpty();
    owner.kept("a2", Set.of());
    assertThat(owner.table(100 * SECOND).rows()).as("at once").isEqualTo(rows);
  }
}
