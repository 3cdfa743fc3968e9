package beamspread.tier;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/**
 * Tests that datagrams are decoded as they were encoded, that any others are rejected as a whole,
 * and that merged records do not depend on their order.
 */
class DatagramTest {
  private static final int TAG = Hashing.hash("trial");

  @Provide
  Arbitrary<MemberRecord> records() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 0xFFFF),
            Arbitraries.longs().between(0, MemberRecord.MAX_INCARNATION),
            Arbitraries.integers().between(0, MemberRecord.MAX_REVISION),
            Arbitraries.of(MemberState.class))
        .as(MemberRecord::new);
  }

  @Provide
  Arbitrary<Datagram.Item> items() {
    Arbitrary<Datagram.Item> recordItems = records().map(Datagram.RecordItem::new);
    Arbitrary<Datagram.Item> suspicionItems =
        Combinators.combine(
                records(),
                Arbitraries.integers().between(0, 0xFFFF),
                Arbitraries.integers().between(0, 0xFFFF),
                Arbitraries.of(true, false))
            .as(
                (record, reporter, sequence, suspected) ->
                    new Datagram.SuspicionItem(
                        new SuspicionReport(
                            record.number(),
                            SuspicionReport.revisionHash(record),
                            reporter,
                            sequence,
                            suspected)));
    Arbitrary<Datagram.Item> infoItems =
        Combinators.combine(
                records(),
                Arbitraries.strings().alpha().ofMinLength(1).ofMaxLength(10),
                Arbitraries.strings().alpha().ofMaxLength(10))
            .as(
                (record, name, zone) ->
                    new Datagram.MemberInfoItem(
                        record.number(), record.incarnation(), new MemberInfo(name, zone, "1.0")));
    return Arbitraries.oneOf(recordItems, suspicionItems, infoItems);
  }

  private static Datagram datagram(MemberRecord own, List<Datagram.Item> items) {
    MemberState state = own.state() == MemberState.GONE ? MemberState.ALIVE : own.state();
    MemberRecord self = new MemberRecord(own.number(), own.incarnation(), own.revision(), state);
    return new Datagram(Datagram.Kind.KNOCK, TAG, self, 7, 9, 40_000_000, -5, items);
  }

  @Property(tries = 300)
  void decodesWhatItEncodes(
      @ForAll("records") MemberRecord own, @ForAll("items") Datagram.Item item) throws Exception {
    Datagram sent = datagram(own, List.of(item, new Datagram.MemberInfoRequest(3)));
    byte[] bytes = sent.encode();
    assertThat(bytes.length).isBetween(Datagram.MIN_BYTES, Datagram.MAX_BYTES);
    assertThat(Datagram.decode(bytes, TAG)).isEqualTo(sent);
  }

  @Property(tries = 300)
  void rejectsOrFullyDecodesTruncatedOrCorruptedDatagrams(
      @ForAll("records") MemberRecord own, @ForAll("items") Datagram.Item item, @ForAll int seed) {
    byte[] bytes = datagram(own, List.of(item, item)).encode();
    byte[] corrupted = Arrays.copyOf(bytes, Math.floorMod(seed, bytes.length + 1));
    if (corrupted.length > 0) {
      corrupted[Math.floorMod(seed / 7, corrupted.length)] ^= (byte) seed;
    }
    try {
      Datagram decoded = Datagram.decode(corrupted, TAG);
      assertThat(decoded.items()).hasSizeLessThanOrEqualTo(3);
      assertThat(decoded.senderRecord().state()).isNotEqualTo(MemberState.GONE);
    } catch (Datagram.InvalidDatagramException e) {
      assertThat(e.reason()).isIn(Datagram.RejectReason.MALFORMED, Datagram.RejectReason.FOREIGN);
    }
  }

  @Test
  void rejectsForeignOversizedAndEmptyDatagrams() {
    byte[] valid = datagram(new MemberRecord(1, 2, 3, MemberState.ALIVE), List.of()).encode();
    assertThatThrownBy(() -> Datagram.decode(valid, TAG + 1)).hasMessage("FOREIGN");
    assertThatThrownBy(() -> Datagram.decode(Arrays.copyOf(valid, 257), TAG))
        .hasMessage("MALFORMED");
    assertThatThrownBy(() -> Datagram.decode(new byte[0], TAG)).hasMessage("MALFORMED");
    byte[] gone = valid.clone();
    gone[16] = (byte) MemberState.GONE.ordinal();
    assertThatThrownBy(() -> Datagram.decode(gone, TAG)).hasMessage("MALFORMED");
  }

  /** The same record is kept in whatever order and however often records are received. */
  @Property(tries = 1000)
  void keepsSameRecordWhateverTheOrder(
      @ForAll("lives") MemberRecord first,
      @ForAll("lives") MemberRecord second,
      @ForAll("lives") MemberRecord third) {
    MemberRecord kept = mergeAll(first, second, third);
    assertThat(mergeAll(third, first, second)).isEqualTo(kept);
    assertThat(mergeAll(second, third, first, second)).isEqualTo(kept);
    assertThat(mergeAll(third, second, first, third)).isEqualTo(kept);
    assertThat(kept.incarnation())
        .isEqualTo(
            Math.max(first.incarnation(), Math.max(second.incarnation(), third.incarnation())));
  }

  @Provide
  Arbitrary<MemberRecord> lives() {
    // A member reports one state in each of its revisions; others may declare it gone.
    return Combinators.combine(
            Arbitraries.longs().between(1, 2),
            Arbitraries.integers().between(0, 2),
            Arbitraries.of(true, false))
        .as(
            (incarnation, life, gone) -> {
              MemberState ownState = life == 2 ? MemberState.LEFT : MemberState.ALIVE;
              return new MemberRecord(4, incarnation, life, gone ? MemberState.GONE : ownState);
            });
  }

  private static MemberRecord mergeAll(MemberRecord... records) {
    MemberTable table = new MemberTable();
    int emptyDigest = table.digest();
    for (MemberRecord record : records) {
      table.merge(1, record);
    }
    MemberRecord kept = table.find(4);
    assertThat(table.notLeftCount()).isEqualTo(kept.state() == MemberState.LEFT ? 0 : 1);
    assertThat(table.activeCount()).isEqualTo(kept.state().isActive() ? 1 : 0);
    assertThat(table.digest()).isNotEqualTo(emptyDigest);
    table.remove(4);
    assertThat(table.digest()).isEqualTo(emptyDigest);
    return kept;
  }
}
