package beamspread.policy;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.model.MembershipUpdate;
import beamspread.model.Outcome;
import beamspread.model.Request;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** A finished request leaves no timer behind, which would wake the node for nothing. */
class TimersTest {
  /** Records which timers are set. */
  private static final class Timers extends BalancerFixtures.Recorder {
    final Set<Long> activeTokens = new TreeSet<>();

    @Override
    public void setTimer(long token, double delay) {
      super.setTimer(token, delay);
      activeTokens.add(token);
    }

    @Override
    public void cancelTimer(long token) {
      activeTokens.remove(token);
    }
  }

  private final Timers timers = new Timers();
  private final Balancer balancer =
      new Balancer(BalancerFixtures.settings(false, 6, true), 7, timers);

  private void request(double now, String id, String key) {
    balancer.onRequest(now, new Request(id, key, "safe", null, 2, 0, 0, false, false));
  }

  private void endAttempt(double now, String id, Outcome.Result result) {
    long server =
        timers.ofKind("send").stream()
            .filter(a -> a.requestId().equals(id))
            .findFirst()
            .get()
            .number();
    balancer.onOutcome(
        now, new Outcome(id, 0, server, result, 0.01, false, Outcome.Note.NONE, null));
  }

  private void applyList() {
    balancer.onMembershipUpdate(
        0,
        new MembershipUpdate(
            MembershipUpdate.Kind.FULL,
            1,
            List.of(BalancerFixtures.server(1), BalancerFixtures.server(2))));
    timers.activeTokens.clear();
  }

  @Test
  void anAnswerCancelsTheTimers() {
    applyList();
    request(1, "r1", "k1");
    assertThat(timers.activeTokens).isNotEmpty();
    endAttempt(1.1, "r1", Outcome.Result.OK);
    assertThat(timers.activeTokens).isEmpty();
  }

  @Test
  void refusalsAndDisconnectsCancelTheTimers() {
    request(1, "refused", "k1");
    assertThat(timers.ofKind("refuse")).hasSize(1);
    assertThat(timers.activeTokens).isEmpty();
    applyList();
    request(1, "leaves", "k2");
    assertThat(timers.activeTokens).isNotEmpty();
    balancer.onClientGone(1.2, "leaves");
    assertThat(timers.activeTokens).isEmpty();
  }

  @Test
  void aHeldRequestKeepsItsTimersUntilItIsAnswered() {
    applyList();
    request(1, "leads", "k1");
    request(1.01, "waits", "k1");
    int timersOfBoth = timers.activeTokens.size();
    assertThat(timersOfBoth).as("two deadlines and a wait").isEqualTo(3);
    endAttempt(1.1, "leads", Outcome.Result.OK);
    assertThat(timers.ofKind("send")).hasSize(2);
    endAttempt(1.2, "waits", Outcome.Result.OK);
    assertThat(timers.activeTokens).isEmpty();
  }
}
