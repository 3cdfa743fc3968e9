package beamspread.lease;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** The pure parts of a lease: until when its holder may work, and which tokens are refused. */
class LeaseHolderTest {
  private static final long SECOND = 1_000_000_000L;
  private static final FencingToken TOKEN = new FencingToken("rollout/main", 7);

  private final LeaseHolder holder = new LeaseHolder(10 * SECOND);

  @Test
  void itCountsFromWhenItWasAskedForAndEndsBeforeTheStoresTime() {
    assertThat(holder.holds(0)).isFalse();
    assertThat(holder.token()).isNull();
    holder.granted(TOKEN, 100 * SECOND);
    assertThat(holder.holds(108 * SECOND - 1)).isTrue();
    assertThat(holder.holds(108 * SECOND)).isFalse();
    assertThat(holder.renewAt()).isBetween(103 * SECOND, 104 * SECOND);
    assertThat(holder.token()).isEqualTo(TOKEN);
  }

  @Test
  void aRenewalProlongsOnlyWhatIsStillHeld() {
    holder.granted(TOKEN, 100 * SECOND);
    holder.renewed(104 * SECOND, 105 * SECOND);
    assertThat(holder.stopAt()).isEqualTo(112 * SECOND);
    holder.renewed(102 * SECOND, 106 * SECOND);
    assertThat(holder.stopAt()).as("an answer that was overtaken").isEqualTo(112 * SECOND);
    holder.renewed(111 * SECOND, 113 * SECOND);
    assertThat(holder.holds(113 * SECOND)).as("too late").isFalse();
    holder.granted(new FencingToken("rollout/main", 8), 120 * SECOND);
    assertThat(holder.holds(121 * SECOND)).isTrue();
    holder.lost();
    assertThat(holder.holds(121 * SECOND)).isFalse();
  }

  @Test
  void aClockThatHasRunOverIsNoTrouble() {
    long late = Long.MAX_VALUE - 3 * SECOND;
    holder.granted(TOKEN, late);
    assertThat(holder.holds(late + 7 * SECOND)).isTrue();
    assertThat(holder.holds(late + 8 * SECOND)).isFalse();
  }

  @Test
  void tokensOnlyRise() throws Exception {
    FencingTokens tokens = new FencingTokens(Map.of("rollout/main", 6L));
    assertThat(tokens.isNew(TOKEN)).isTrue();
    tokens.check(TOKEN);
    tokens.saw(TOKEN);
    tokens.check(TOKEN);
    assertThat(tokens.isNew(TOKEN)).isFalse();
    FencingToken earlier = new FencingToken("rollout/main", 6);
    assertThatThrownBy(() -> tokens.check(earlier))
        .isInstanceOfSatisfying(
            StaleTokenException.class,
            stale -> {
              assertThat(stale.given()).isEqualTo(earlier);
              assertThat(stale.seen()).isEqualTo(7);
              assertThat(stale).hasMessageContainingAll("rollout/main", "token 6", "token 7");
            });
    tokens.saw(earlier);
    assertThat(tokens.all()).containsExactly(Map.entry("rollout/main", 7L));
    tokens.check(new FencingToken("variants/main", 1));
  }

  @Test
  void whatCanBeNoTokenIsRefused() {
    assertThat(FencingToken.parse(TOKEN.text())).isEqualTo(TOKEN);
    for (String bad :
        new String[] {"", "rollout/main", "a b", "a 0", "a -3", " 5", "a\n 5", "ä 5"}) {
      assertThatThrownBy(() -> FencingToken.parse(bad))
          .as(bad)
          .isInstanceOf(IllegalArgumentException.class);
    }
    assertThatThrownBy(() -> new FencingTokens(Map.of("rollout/main", 0L)))
        .isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> new LeaseHolder(0)).isInstanceOf(IllegalArgumentException.class);
  }
}
