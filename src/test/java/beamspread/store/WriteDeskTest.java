package beamspread.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class WriteDeskTest {
  private static final long MS = 1_000_000L;
  private final WriteDesk<String> desk = new WriteDesk<>(new WriteDesk.Limits(6, 3, 500 * MS));

  private static Write write(String id, long deadline) {
    return new Write(id, false, "key", new byte[1], deadline);
  }

  private Write.Answer offer(long now, String id, long deadline) {
    return desk.offer(now, write(id, deadline), id);
  }

  private List<WriteDesk.Told<String>> end(long now, List<WriteDesk.Entry<String>> batch) {
    return desk.ended(now, batch, batch.stream().map(one -> Write.Answer.stored(7)).toList());
  }

  private static List<String> askers(List<WriteDesk.Told<String>> told) {
    return told.stream().map(WriteDesk.Told::asker).toList();
  }

  @Test
  void whatWaitsGoesTogetherAsManyAsFitThoseWhoseTimeEndsFirstBeforeOthers() {
    for (int i = 0; i < 5; i++) {
      assertThat(offer(0, "w" + i, (100 - i) * MS)).isNull();
    }
    List<WriteDesk.Entry<String>> batch = desk.begin(0);
    assertThat(batch).extracting(WriteDesk.Entry::asker).containsExactly("w4", "w3", "w2");
    assertThat(desk.begin(0)).as("one at a time").isEmpty();
    assertThat(askers(end(MS, batch))).containsExactly("w4", "w3", "w2");
    assertThat(desk.begin(MS)).hasSize(2);
  }

  @Test
  void beforeItsTransactionATimeThatRunsOutIsHarmlessInItNobodyKnows() {
    offer(0, "out", 50 * MS);
    List<WriteDesk.Entry<String>> batch = desk.begin(0);
    offer(1, "waits", 40 * MS);
    assertThat(desk.nextExpiry()).isEqualTo(40 * MS);
    List<WriteDesk.Told<String>> told = desk.expire(60 * MS);
    assertThat(told)
        .extracting(one -> one.asker() + " " + one.answer().fate())
        .containsExactly("waits REFUSED", "out UNKNOWN");
    assertThat(end(70 * MS, batch)).as("told once").isEmpty();
    assertThat(desk.nextExpiry()).isEqualTo(Long.MAX_VALUE);
  }

  @Test
  void whatCannotBeReachedInTimeIsRefusedAsItComes() {
    for (int i = 0; i < 4; i++) {
      offer(i, "slow" + i, 10_000 * MS);
      end(i + 100 * MS, desk.begin(i));
    }
    long now = 1000 * MS;
    assertThat(offer(now, "first", now + 500 * MS)).isNull();
    assertThat(desk.begin(now)).hasSize(1);
    assertThat(offer(now, "soon", now + 150 * MS).fate()).isEqualTo(Write.Fate.REFUSED);
    assertThat(offer(now, "late", now + 250 * MS)).isNull();
  }

  @Test
  void whileTheDiskStandsStillAllIsRefusedAtOnceAndAfterwardsOneAloneTellsThatItGoesOn() {
    offer(0, "stuck", 10_000 * MS);
    List<WriteDesk.Entry<String>> batch = desk.begin(0);
    assertThat(desk.stalled(400 * MS)).isFalse();
    assertThat(desk.stalled(600 * MS)).isTrue();
    assertThat(offer(600 * MS, "more", 10_000 * MS).reason()).contains("disk");
    assertThat(end(3000 * MS, batch)).hasSize(1);
    long now = 3000 * MS;
    assertThat(offer(now, "alone", now + 100 * MS)).as("though 3 s are expected").isNull();
    assertThat(offer(now, "beside", now + 100 * MS).fate()).isEqualTo(Write.Fate.REFUSED);
    for (int i = 0; i < 12; i++) {
      end(now + MS, desk.begin(now));
      now += 2 * MS;
      assertThat(offer(now, "again" + i, now + 100 * MS)).isNull();
    }
    assertThat(offer(now, "beside", now + 100 * MS)).as("the stall is forgotten").isNull();
  }

  @Test
  void aFullQueueAndAStoppedDeskRefuse() {
    for (int i = 0; i < 6; i++) {
      assertThat(offer(0, "w" + i, 100 * MS)).isNull();
    }
    assertThat(offer(0, "more", 100 * MS).reason()).contains("full");
    List<WriteDesk.Entry<String>> batch = desk.begin(0);
    assertThat(askers(desk.stop("the disk has failed"))).containsExactly("w3", "w4", "w5");
    assertThat(offer(0, "after", 100 * MS).reason()).isEqualTo("the disk has failed");
    assertThat(askers(end(MS, batch))).containsExactly("w0", "w1", "w2");
    assertThat(desk.begin(MS)).isEmpty();
  }

  /** Whatever happens in whatever order, each write that was taken is answered exactly once. */
  @Property(tries = 300)
  void eachThatWasTakenIsAnsweredOnceAndNoneAfterItsTimeButByItsTransaction(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    WriteDesk<String> desk = new WriteDesk<>(new WriteDesk.Limits(6, 3, 500 * MS));
    Map<String, Long> open = new HashMap<>();
    List<WriteDesk.Entry<String>> out = List.of();
    long now = 0;
    for (int step = 0; step < 400; step++) {
      now += random.nextInt(20) * MS;
      List<WriteDesk.Told<String>> told = new ArrayList<>(desk.expire(now));
      int what = random.nextInt(3);
      String id = seed + "-" + step;
      long deadline = now + (1 + random.nextInt(200)) * MS;
      if (what == 0 && desk.offer(now, write(id, deadline), id) == null) {
        open.put(id, deadline);
      } else if (what == 1 && out.isEmpty()) {
        out = desk.begin(now);
      } else if (what == 2 && !out.isEmpty()) {
        List<Write.Answer> answers = out.stream().map(one -> Write.Answer.stored(7)).toList();
        told.addAll(desk.ended(now, out, answers));
        out = List.of();
      }
      for (WriteDesk.Told<String> one : told) {
        assertThat(open.remove(one.asker())).as(one + ", seed " + seed).isNotNull();
      }
      long at = now;
      assertThat(open.values()).as("seed " + seed).allMatch(end -> end > at);
    }
  }
}
