package beamspread.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class CallerBookTest {
  private final CallerBook<Integer> book = new CallerBook<>(5, 2);

  @Test
  void whoHasWaitedLongestGivesWayAndWhoAsksDoesNot() {
    assertThat(book.enter(1) && book.enter(2) && book.enter(3)).isTrue();
    assertThat(book.inTheWay()).containsExactly(1, 2, 3);
    book.asks(1);
    book.trust(2);
    assertThat(book.inTheWay()).containsExactly(3);
    book.answered(1);
    book.answered(2);
    assertThat(book.inTheWay()).as("the one that was answered waits anew").containsExactly(3, 1);
    book.leaves(3);
    assertThat(book.inTheWay()).isEmpty();
  }

  @Test
  void theLastPlacesAreForLeasesUntilThereIsRoom() {
    for (int i = 1; i <= 3; i++) {
      assertThat(book.enter(i)).isTrue();
      book.asks(i);
    }
    assertThat(book.inTheWay()).as("nobody gives way, but two places are left").isEmpty();
    assertThat(book.enter(4) && book.enter(5)).isTrue();
    assertThat(book.mayAskAll(3)).isTrue();
    assertThat(book.mayAskAll(4)).isFalse();
    assertThat(book.inTheWay()).containsExactly(4, 5);
    book.trust(4);
    book.trust(5);
    assertThat(book.enter(6)).isFalse();
    book.leaves(2);
    assertThat(book.mayAskAll(4)).isTrue();
    assertThat(book.mayAskAll(5)).isFalse();
  }

  @Property(tries = 200, seed = "20261203")
  void noOrderOfEventsLeavesARestOrOverfillsIt(@ForAll long seed) {
    Random random = new Random(seed);
    List<Integer> here = new ArrayList<>();
    List<Integer> under = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      Integer one = here.isEmpty() ? null : here.get(random.nextInt(here.size()));
      switch (random.nextInt(one == null ? 1 : 5)) {
        case 0 -> {
          List<Integer> victims = book.inTheWay();
          if (!victims.isEmpty()) {
            assertThat(under).doesNotContain(victims.get(0));
            book.leaves(victims.get(0));
            here.remove(victims.get(0));
          }
          if (book.enter(i)) {
            here.add(i);
          }
        }
        case 1 -> {
          book.asks(one);
          under.add(one);
        }
        case 2 -> {
          book.answered(one);
          under.removeIf(one::equals);
        }
        case 3 -> book.trust(one);
        default -> {
          book.leaves(one);
          here.remove(one);
          under.removeIf(one::equals);
        }
      }
      assertThat(here).hasSizeLessThanOrEqualTo(5);
      assertThat(here).containsAll(book.inTheWay());
    }
    here.forEach(book::leaves);
    assertThat(book.inTheWay()).isEmpty();
  }
}
