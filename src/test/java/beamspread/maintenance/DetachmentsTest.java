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

/** Tests that detached servers stay detached whatever the list says. */
class DetachmentsTest {
  private final Detachments detachments = new Detachments();

  private static ServerEntry entry(long id, ServerEntry.State state, double started) {
    return new ServerEntry(id, "a", "box", 0, state, 1, started);
  }

  private static ServerEntry readyEntry(long id) {
    return entry(id, ServerEntry.State.READY, 0);
  }

  private List<ServerEntry> overlay(Kind kind, ServerEntry... entries) {
    return detachments.overlay(new MembershipUpdate(kind, 1, List.of(entries))).entries();
  }

  @Test
  void aDetachedServerIsDrainingInEveryListUntilItIsAttached() {
    overlay(Kind.FULL, readyEntry(1), readyEntry(2));
    assertThat(detachments.detach(1).state()).isEqualTo(ServerEntry.State.DRAINING);
    assertThat(detachments.avoidedCount()).isEqualTo(1);
    for (Kind kind : List.of(Kind.FULL, Kind.CHANGES, Kind.CACHED)) {
      // The list reports a restart meanwhile: the server stays detached.
      assertThat(overlay(kind, entry(1, ServerEntry.State.READY, 90)))
          .containsExactly(entry(1, ServerEntry.State.DRAINING, 90));
    }
    overlay(Kind.CHANGES, entry(1, ServerEntry.State.GONE, 0));
    assertThat(overlay(Kind.CHANGES, readyEntry(1)).get(0).state())
        .isEqualTo(ServerEntry.State.DRAINING);
    assertThat(detachments.attach(100, 1)).isEqualTo(entry(1, ServerEntry.State.READY, 100));
    assertThat(overlay(Kind.FULL, readyEntry(1)))
        .containsExactly(entry(1, ServerEntry.State.READY, 100));
    // The list may report the start late; that must make the server neither warm nor cold once
    // more.
    assertThat(overlay(Kind.FULL, entry(1, ServerEntry.State.READY, 95)).get(0).startedAt())
        .isEqualTo(100);
    assertThat(overlay(Kind.FULL, entry(1, ServerEntry.State.READY, 300)).get(0).startedAt())
        .isEqualTo(300);
  }

  @Test
  void repeatedCallsHaveNoEffect() {
    overlay(Kind.FULL, readyEntry(1));
    assertThat(detachments.attach(5, 1)).isNull();
    assertThat(overlay(Kind.FULL, readyEntry(1)).get(0).startedAt()).isZero();
    assertThat(detachments.detach(1)).isNotNull();
    assertThat(detachments.detach(1)).isNull();
    assertThat(detachments.attach(6, 1)).isNotNull();
    assertThat(detachments.attach(7, 1)).isNull();
    assertThat(overlay(Kind.FULL, readyEntry(1)).get(0).startedAt()).isEqualTo(6);
  }

  @Test
  void attachingDoesNotOverrideADrainInTheList() {
    overlay(Kind.FULL, entry(1, ServerEntry.State.DRAINING, 0));
    detachments.detach(1);
    assertThat(detachments.attach(5, 1).state()).isEqualTo(ServerEntry.State.DRAINING);
    assertThat(detachments.avoidedCount()).isEqualTo(1);
  }

  @Test
  void remembersIdsOfServersThatHaveLeft() {
    assertThat(detachments.knows(1)).isFalse();
    overlay(Kind.FULL, readyEntry(1));
    overlay(Kind.FULL, readyEntry(2));
    assertThat(detachments.knows(1)).isTrue();
    assertThat(detachments.listedCount()).isEqualTo(1);
    assertThat(detachments.detach(1)).isNull();
    assertThat(overlay(Kind.CHANGES, readyEntry(1)).get(0).state())
        .isEqualTo(ServerEntry.State.DRAINING);
  }

  @Test
  void memoryStaysBounded() {
    for (long id = 0; id < 70_000; id++) {
      overlay(Kind.CHANGES, readyEntry(id));
      overlay(Kind.CHANGES, entry(id, ServerEntry.State.GONE, 0));
    }
    assertThat(detachments.listedCount()).isZero();
    assertThat(LongStream.range(0, 70_000).filter(detachments::knows).count()).isEqualTo(1 << 12);
    for (long id = 0; id < Detachments.MAX_DETACHED; id++) {
      detachments.detach(id);
    }
    assertThat(detachments.hasRoom()).isFalse();
    assertThatThrownBy(() -> detachments.detach(-1)).isInstanceOf(IllegalStateException.class);
    assertThat(detachments.detach(1)).isNull();
  }

  /** Compares random sequences of lists and calls with a simple model. */
  @Property(tries = 300)
  void overlaidListMatchesTheModelForRandomCalls(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Detachments detachments = new Detachments();
    Set<Long> detachedIds = new HashSet<>();
    Map<Long, ServerEntry> listedEntries = new HashMap<>();
    Map<Long, ServerEntry> overlaidEntries = new HashMap<>();
    for (int step = 1; step < 200; step++) {
      long id = random.nextInt(6);
      ServerEntry result = null;
      switch (random.nextInt(4)) {
        case 0 -> {
          detachedIds.add(id);
          result = detachments.detach(id);
        }
        case 1 -> {
          detachedIds.remove(id);
          result = detachments.attach(step, id);
        }
        default -> {
          ServerEntry changed =
              entry(id, ServerEntry.State.values()[random.nextInt(3)], random.nextInt(step));
          if (changed.state() == ServerEntry.State.GONE) {
            listedEntries.remove(id);
          } else {
            listedEntries.put(id, changed);
          }
          result =
              detachments
                  .overlay(new MembershipUpdate(Kind.CHANGES, 1, List.of(changed)))
                  .entries()
                  .get(0);
        }
      }
      if (result != null && result.state() == ServerEntry.State.GONE) {
        overlaidEntries.remove(id);
      } else if (result != null) {
        overlaidEntries.put(id, result);
      }
      assertThat(overlaidEntries.keySet()).isEqualTo(listedEntries.keySet());
      for (ServerEntry entry : overlaidEntries.values()) {
        ServerEntry.State listedState = listedEntries.get(entry.id()).state();
        assertThat(entry.state())
            .isEqualTo(detachedIds.contains(entry.id()) ? ServerEntry.State.DRAINING : listedState);
        assertThat(entry.startedAt())
            .isGreaterThanOrEqualTo(listedEntries.get(entry.id()).startedAt());
      }
    }
  }
}
