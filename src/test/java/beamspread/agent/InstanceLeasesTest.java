package beamspread.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Who may act on which instance. */
class InstanceLeasesTest {
  private static final long TTL = 100;

  private static List<InstanceLeases.Lease> take(
      InstanceLeases book, long now, String session, String... instances) {
    return book.take(now, session, "op-" + session, "stop", "anna", List.of(instances), TTL, 7);
  }

  @Test
  void aLeaseLastsUntilItsTimeIsOverAndRenewingProlongsIt() {
    InstanceLeases book = new InstanceLeases(10);
    InstanceLeases.Lease lease = take(book, 0, "s1", "n1").get(0);
    assertThat(lease.token()).isEqualTo(11);
    assertThat(book.conflicts(99, "s2", List.of("n1", "n2"))).containsExactly(lease);
    assertThat(book.conflicts(99, "s1", List.of("n1"))).isEmpty();
    assertThat(book.renew(99, "s1")).isEqualTo(1);
    assertThat(book.holder(198, "n1")).isEqualTo(lease);
    assertThat(book.holder(199, "n1")).isNull();
    assertThat(book.renew(199, "s1")).isZero();
    assertThat(book.refusal(199, "n1", 11, "op-s1")).contains("has run out");
    assertThat(book.expire(199)).containsExactly(lease);
  }

  @Test
  void aLateCommandUnderAnOldTokenIsRefused() {
    InstanceLeases book = new InstanceLeases(0);
    take(book, 0, "s1", "n1");
    assertThat(book.refusal(50, "n1", 1, "op-s1")).isNull();
    assertThat(book.refusal(50, "n1", 1, "another")).contains("out of date");
    take(book, 100, "s2", "n1");
    assertThat(book.refusal(101, "n1", 1, "op-s1")).contains("held by anna", "out of date");
    assertThat(book.refusal(101, "n1", 2, "op-s2")).isNull();
  }

  @Test
  void leasesFromTheRecordLastTheirWholeTimeAgainAndTokensStayAbove() {
    InstanceLeases book = new InstanceLeases(3);
    book.restore(1000, new InstanceLeases.Lease("n1", 9, "s1", "op", "stop", "anna", 7, TTL));
    assertThat(book.holder(1099, "n1")).isNotNull();
    assertThat(take(book, 1000, "s2", "n2").get(0).token()).isEqualTo(10);
  }

  @Test
  void askingTwiceKeepsTheToken() {
    InstanceLeases book = new InstanceLeases(0);
    long token = take(book, 0, "s1", "n1").get(0).token();
    assertThat(take(book, 10, "s1", "n1").get(0).token()).isEqualTo(token);
    assertThat(book.release("s1")).hasSize(1);
    assertThat(take(book, 20, "s1", "n1").get(0).token()).isGreaterThan(token);
    assertThat(book.size()).isEqualTo(1);
  }

  /** Whatever happens in whatever order: one holder at a time, and tokens that only grow. */
  @Property(tries = 300)
  void noInstanceEverHasTwoHolders(
      @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 99_999) Integer> moves) {
    InstanceLeases book = new InstanceLeases(0);
    Map<String, Long> lastToken = new HashMap<>();
    Map<String, String> mayAct = new HashMap<>();
    Map<String, Long> until = new HashMap<>();
    long now = 0;
    for (int move : moves) {
      now += move % 60;
      String session = "s" + move / 60 % 3;
      List<String> instances = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        if ((move / 1000 >> i & 1) == 1) {
          instances.add("n" + i);
        }
      }
      if (move % 7 == 0) {
        book.release(session);
        mayAct.values().removeIf(session::equals);
      } else if (move % 7 == 1) {
        book.expire(now);
      } else if (book.conflicts(now, session, instances).isEmpty()) {
        for (String instance : instances) {
          // By a count of our own nobody else may hold it now.
          String holder = mayAct.get(instance);
          assertThat(holder == null || holder.equals(session) || until.get(instance) <= now)
              .isTrue();
        }
        for (InstanceLeases.Lease lease :
            take(book, now, session, instances.toArray(new String[0]))) {
          long last = lastToken.getOrDefault(lease.instance(), 0L);
          boolean mine =
              session.equals(mayAct.get(lease.instance())) && until.get(lease.instance()) > now;
          assertThat(lease.token()).isGreaterThan(mine ? last - 1 : last);
          lastToken.put(lease.instance(), lease.token());
          mayAct.put(lease.instance(), session);
          until.put(lease.instance(), now + TTL);
        }
      }
    }
  }
}
