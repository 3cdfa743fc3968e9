package beamspread.maintenance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beamspread.model.MembershipUpdate;
import beamspread.model.MembershipUpdate.Kind;
import beamspread.model.ServerEntry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What operators say holds over what the list says. */
class DetachmentsTest {
  private final Detachments detachments = new Detachments();

  private static ServerEntry line(long id, ServerEntry.State state, double started) {
    return new ServerEntry(id, "a", "box", 0, state, 1, started);
  }

  private static ServerEntry ready(long id) {
    return line(id, ServerEntry.State.READY, 0);
  }

  private List<ServerEntry> told(Kind kind, ServerEntry... entries) {
    return detachments.overlay(new MembershipUpdate(kind, 1, List.of(entries))).entries();
  }

  @Test
  void oneThatIsOutIsToldAsDrainingByEveryListUntilItIsPutBack() {
    told(Kind.FULL, ready(1), ready(2));
    assertThat(detachments.detach(1).state()).isEqualTo(ServerEntry.State.DRAINING);
    assertThat(detachments.avoided()).isEqualTo(1);
    for (Kind kind : List.of(Kind.FULL, Kind.CHANGES, Kind.CACHED)) {
      // Restarted meanwhile, says the list: it stays out.
      assertThat(told(kind, line(1, ServerEntry.State.READY, 90)))
          .containsExactly(line(1, ServerEntry.State.DRAINING, 90));
    }
    told(Kind.CHANGES, line(1, ServerEntry.State.GONE, 0));
    assertThat(told(Kind.CHANGES, ready(1)).get(0).state()).isEqualTo(ServerEntry.State.DRAINING);
    assertThat(detachments.attach(100, 1)).isEqualTo(line(1, ServerEntry.State.READY, 100));
    assertThat(told(Kind.FULL, ready(1))).containsExactly(line(1, ServerEntry.State.READY, 100));
    // The list may tell the start late, and must not make the server warm, nor cold once more.
    assertThat(told(Kind.FULL, line(1, ServerEntry.State.READY, 95)).get(0).startedAt())
        .isEqualTo(100);
    assertThat(told(Kind.FULL, line(1, ServerEntry.State.READY, 300)).get(0).startedAt())
        .isEqualTo(300);
  }

  @Test
  void repeatedCallsChangeNothing() {
    told(Kind.FULL, ready(1));
    assertThat(detachments.attach(5, 1)).isNull();
    assertThat(told(Kind.FULL, ready(1)).get(0).startedAt()).isZero();
    assertThat(detachments.detach(1)).isNotNull();
    assertThat(detachments.detach(1)).isNull();
    assertThat(detachments.attach(6, 1)).isNotNull();
    assertThat(detachments.attach(7, 1)).isNull();
    assertThat(told(Kind.FULL, ready(1)).get(0).startedAt()).isEqualTo(6);
  }

  @Test
  void whatTheListItselfDrainsIsNotPutBackByOperators() {
    told(Kind.FULL, line(1, ServerEntry.State.DRAINING, 0));
    detachments.detach(1);
    assertThat(detachments.attach(5, 1).state()).isEqualTo(ServerEntry.State.DRAINING);
    assertThat(detachments.avoided()).isEqualTo(1);
  }

  @Test
  void idsAreKnownOnceListedAlsoWhenTheyHaveLeft() {
    assertThat(detachments.knows(1)).isFalse();
    told(Kind.FULL, ready(1));
    told(Kind.FULL, ready(2));
    assertThat(detachments.knows(1)).isTrue();
    assertThat(detachments.listed()).isEqualTo(1);
    assertThat(detachments.detach(1)).isNull();
    assertThat(told(Kind.CHANGES, ready(1)).get(0).state()).isEqualTo(ServerEntry.State.DRAINING);
  }

  @Test
  void memoryStaysWithinItsBounds() {
    for (long id = 0; id < 70_000; id++) {
      told(Kind.CHANGES, ready(id));
      told(Kind.CHANGES, line(id, ServerEntry.State.GONE, 0));
    }
    assertThat(detachments.listed()).isZero();
    assertThat(LongStream.range(0, 70_000).filter(detachments::knows).count()).isEqualTo(1 << 12);
    for (long id = 0; id < Detachments.MOST; id++) {
      detachments.detach(id);
    }
    assertThat(detachments.hasRoom()).isFalse();
    assertThatThrownBy(() -> detachments.detach(-1)).isInstanceOf(IllegalStateException.class);
    assertThat(detachments.detach(1)).isNull();
  }

  /** Any order of lists and calls, against the plainest model of what must come of them. */
  @Property(tries = 300)
  void whatTheModuleHearsIsTheListButForWhatIsOut(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Detachments under = new Detachments();
    Set<Long> out = new HashSet<>();
    Map<Long, ServerEntry> list = new HashMap<>();
    Map<Long, ServerEntry> module = new HashMap<>();
    for (int step = 1; step < 200; step++) {
      long id = random.nextInt(6);
      ServerEntry told = null;
      switch (random.nextInt(4)) {
        case 0 -> {
          out.add(id);
          told = under.detach(id);
        }
        case 1 -> {
          out.remove(id);
          told = under.attach(step, id);
        }
        default -> {
          ServerEntry news =
              line(id, ServerEntry.State.values()[random.nextInt(3)], random.nextInt(step));
          if (news.state() == ServerEntry.State.GONE) {
            list.remove(id);
          } else {
            list.put(id, news);
          }
          told =
              under.overlay(new MembershipUpdate(Kind.CHANGES, 1, List.of(news))).entries().get(0);
        }
      }
      if (told != null && told.state() == ServerEntry.State.GONE) {
        module.remove(id);
      } else if (told != null) {
        module.put(id, told);
      }
      assertThat(module.keySet()).isEqualTo(list.keySet());
      for (ServerEntry entry : module.values()) {
        ServerEntry.State listed = list.get(entry.id()).state();
        assertThat(entry.state())
            .isEqualTo(out.contains(entry.id()) ? ServerEntry.State.DRAINING : listed);
        assertThat(entry.startedAt()).isGreaterThanOrEqualTo(list.get(entry.id()).startedAt());
      }
    }
  }
}
