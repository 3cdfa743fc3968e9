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

/**
 * Tests canonical keys at a node, which are used only while the table is valid and the family not
 * split, and the owner's decisions.
 */
class VariantKeysTest {
  private static final long SECOND = 1_000_000_000;
  private static final VariantSettings SETTINGS =
      new VariantSettings("main", SECOND, 5 * SECOND, 4, SECOND / 4);

  private VariantKeys keys;

  @BeforeEach
  void offerTable() throws Exception {
    keys =
        new VariantKeys(SETTINGS, new VariantRules(List.of(VariantRulesTest.byField("page/", 0))));
    keys.offer(0, table(1, "phone", "tablet"), 100 * SECOND);
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

  /** Returns the start of a slot in which an object is compared, or of one in which it is not. */
  private long slotStart(String object, boolean compared) {
    for (long slotStart = 0; slotStart < SECOND; slotStart += SECOND / 4) {
      VariantKeys.Rewrite rewrite = keys.rewrite(slotStart, "page/tablet/" + object, "read");
      if (rewrite != null && rewrite.compared() == compared) {
        return slotStart;
      }
    }
    throw new AssertionError("no such slot of " + object);
  }

  @Test
  void rewritesKeyOnlyWhileTableIsValid() {
    long at = slotStart("1", false);
    assertThat(keys.rewrite(at, "page/tablet/1", "read").key()).isEqualTo("page/phone/1");
    assertThat(keys.rewrite(at, "page/phone/1", "read")).isNull();
    assertThat(keys.rewrite(at, "page/watch/1", "read")).isNull();
    assertThat(keys.rewrite(SECOND, "page/tablet/1", "read")).isNull();
    keys.renew(SECOND, new VariantVersion(1, 1), SECOND + SECOND / 2);
    assertThat(keys.rewrite(SECOND + at / 2, "page/tablet/1", "read")).isNotNull();
    assertThat(keys.rewrite(2 * SECOND, "page/tablet/1", "read")).isNull();
  }

  @Test
  void splitsFamilyAtFirstDifferentValue() {
    long at = slotStart("1", true);
    VariantKeys.Rewrite tablet = keys.rewrite(at, "page/tablet/1", "read");
    assertThat(tablet.key()).isEqualTo("page/tablet/1");
    VariantKeys.Rewrite phone = keys.rewrite(at, "page/phone/1", "read");
    keys.recordValue(at, tablet, hash("the same"));
    keys.recordValue(at, phone, hash("the same"));
    assertThat(keys.split(at)).isEmpty();
    keys.recordValue(at, phone, hash("another"));
    assertThat(keys.split(at)).containsExactly("page/");
    assertThat(keys.counts().differed).isEqualTo(1);
    assertThat(keys.rewrite(nextSlot(at), "page/tablet/1", "read")).isNull();
    keys.renew(6 * SECOND, new VariantVersion(1, 1), 7 * SECOND);
    assertThat(keys.split(at + 5 * SECOND)).isEmpty();
    assertThat(keys.rewrite(6 * SECOND + nextSlot(at), "page/tablet/1", "read").key())
        .isEqualTo("page/phone/1");
  }

  private static long nextSlot(long compared) {
    return (compared + SECOND / 4) % SECOND;
  }

  @Test
  void comparesEmptyValuesButNotValuesOfDifferentRounds() {
    long at = slotStart("1", true);
    VariantKeys.Rewrite phone = keys.rewrite(at, "page/phone/1", "read");
    keys.recordValue(at, phone, hash("old"));
    keys.recordValue(at + SECOND, phone, hash("new"));
    assertThat(keys.split(at + SECOND)).isEmpty();
    keys.recordValue(at + SECOND, phone, hash(""));
    assertThat(keys.split(at + SECOND)).containsExactly("page/");
  }

  @Test
  void hashesValueInPartsLikeWholeValue() {
    ValueHash parts =
        new ValueHash.Builder()
            .add(ByteBuffer.wrap("one ".getBytes(StandardCharsets.UTF_8)))
            .add(ByteBuffer.allocate(0))
            .add(ByteBuffer.wrap("value".getBytes(StandardCharsets.UTF_8)))
            .build();
    assertThat(parts).isEqualTo(hash("one value")).isNotEqualTo(hash("one valuE"));
  }

  @Test
  void writeSplitsFamilyWhateverTheClass() {
    keys.recordWrite(0, "other/phone/1");
    assertThat(keys.split(0)).isEmpty();
    keys.recordWrite(0, "page/watch/1");
    assertThat(keys.split(0)).containsExactly("page/");
    assertThat(keys.rewrite(nextSlot(0), "page/tablet/1", "read")).isNull();
  }

  @Test
  void rejectedTablesChangeNothing() throws Exception {
    assertThatThrownBy(() -> keys.offer(0, table(2, "phone", "fridge"), SECOND))
        .isInstanceOf(VariantException.class);
    assertThat(keys.offer(0, table(1, "phone", "watch"), SECOND))
        .isEqualTo(HeldTable.OfferResult.OTHER_CONTENT);
    assertThat(keys.held().highestVersion()).isEqualTo(new VariantVersion(1, 1));
    assertThat(keys.counts().refused).isEqualTo(2);
    assertThat(keys.rewrite(slotStart("1", false), "page/tablet/1", "read").key())
        .isEqualTo("page/phone/1");
  }

  @Test
  void newOwnerMergesOnlyAfterAllAgentsReportedOrWaiting() {
    var rows = Map.of("page/", List.of(Set.of("phone", "tablet")));
    VariantOwner owner = new VariantOwner(SETTINGS, 4, rows, Set.of("a1", "a2"), 0);
    assertThat(owner.currentTable(0).rows()).isEmpty();
    owner.recordSplitFamilies(0, "a1", Set.of());
    assertThat(owner.currentTable(0).rows()).isEmpty();
    assertThat(owner.currentTable(2 * SECOND).rows()).isEqualTo(rows);
    VariantOwner other = new VariantOwner(SETTINGS, 5, rows, Set.of("a1", "a2"), 0);
    other.recordSplitFamilies(0, "a1", Set.of());
    other.recordSplitFamilies(0, "a2", Set.of());
    assertThat(other.currentTable(0).rows()).isEqualTo(rows);
  }

  @Test
  void ownerLeavesOutSplitFamiliesForRestTime() {
    VariantOwner owner =
        new VariantOwner(
            SETTINGS, 4, Map.of("page/", List.of(Set.of("phone", "tablet"))), Set.of("a1"), 0);
    owner.recordSplitFamilies(0, "a1", Set.of());
    VariantTable first = owner.currentTable(0);
    assertThat(first.version()).isEqualTo(new VariantVersion(4, 1));
    assertThat(owner.currentTable(SECOND)).isSameAs(first);
    owner.recordSplitFamilies(SECOND, "a1", Set.of("page/"));
    assertThat(owner.currentTable(SECOND).rows()).isEmpty();
    assertThat(owner.currentTable(5 * SECOND).version()).isEqualTo(new VariantVersion(4, 2));
    assertThat(owner.currentTable(6 * SECOND).rows()).isEqualTo(first.rows());
    owner.setRows(Map.of());
    assertThat(owner.currentTable(7 * SECOND).rows()).isEmpty();
    assertThat(owner.currentTable(7 * SECOND).version()).isEqualTo(new VariantVersion(4, 4));
  }

  @Test
  void ownerLeavesOutKeptSplitFamilyUntilAllAgentsAllowIt() {
    var rows = Map.of("page/", List.of(Set.of("phone", "tablet")));
    VariantOwner owner = new VariantOwner(SETTINGS, 4, rows, Set.of("a1", "a2"), 0);
    owner.recordSplitFamilies(0, "a1", Set.of());
    owner.recordSplitFamilies(0, "a2", Set.of());
    owner.setKeptSplit("a1", Set.of("page/"));
    owner.setKeptSplit("a2", Set.of("page/"));
    assertThat(owner.currentTable(0).rows()).isEmpty();
    owner.setKeptSplit("a1", Set.of());
    assertThat(owner.currentTable(100 * SECOND).rows())
        .as("a2 keeps it, for however long")
        .isEmpty();
    owner.setKeptSplit("a2", Set.of());
    assertThat(owner.currentTable(100 * SECOND).rows()).as("at once").isEqualTo(rows);
  }
}
