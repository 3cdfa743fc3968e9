package beamspread.policy;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.model.MembershipUpdate;
import beamspread.model.Outcome;
import beamspread.model.Request;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** A request that is over leaves no timer behind: each would wake a node for nothing. */
class TimersTest {
  /** Which timers are set. */
  private static final class Timers extends Rig.Recorder {
    final Set<Long> set = new TreeSet<>();

    @Override
    public void wake(long token, double delay) {
      super.wake(token, delay);
      set.add(token);
    }

    @Override
    public void cancelWake(long token) {
      set.remove(token);
    }
  }

  private final Timers timers = new Timers();
  private final Balancer balancer = new Balancer(Rig.settings(false, 6, true), 7, timers);

  private void ask(double now, String id, String key) {
    balancer.request(now, new Request(id, key, "safe", null, 2, 0, 0, false, false));
  }

  private void answered(double now, String id, Outcome.Result result) {
    long server =
        timers.of("send").stream().filter(a -> a.id().equals(id)).findFirst().get().number();
    balancer.outcome(now, new Outcome(id, 0, server, result, 0.01, false, Outcome.Note.NONE, null));
  }

  private void list() {
    balancer.membership(
        0,
        new MembershipUpdate(MembershipUpdate.Kind.FULL, 1, List.of(Rig.server(1), Rig.server(2))));
    timers.set.clear();
  }

  @Test
  void anAnswerTakesTheTimersOff() {
    list();
    ask(1, "r1", "k1");
    assertThat(timers.set).isNotEmpty();
    answered(1.1, "r1", Outcome.Result.OK);
    assertThat(timers.set).isEmpty();
  }

  @Test
  void soDoesARefusalAndAClientThatLeaves() {
    ask(1, "refused", "k1");
    assertThat(timers.of("refuse")).hasSize(1);
    assertThat(timers.set).isEmpty();
    list();
    ask(1, "leaves", "k2");
    assertThat(timers.set).isNotEmpty();
    balancer.clientGone(1.2, "leaves");
    assertThat(timers.set).isEmpty();
  }

  @Test
  void oneThatWaitsForAnothersFetchKeepsItsOwnUntilItIsOver() {
    list();
    ask(1, "leads", "k1");
    ask(1.01, "waits", "k1");
    int both = timers.set.size();
    assertThat(both).as("two deadlines and a wait").isEqualTo(3);
    answered(1.1, "leads", Outcome.Result.OK);
    assertThat(timers.of("send")).hasSize(2);
    answered(1.2, "waits", Outcome.Result.OK);
    assertThat(timers.set).isEmpty();
  }
}
