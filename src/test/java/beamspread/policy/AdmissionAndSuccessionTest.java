package beamspread.policy;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.model.LearnedState;
import beamspread.model.MembershipUpdate;
import beamspread.model.Outcome;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests limits on open requests, the ramp of cold servers, and the state of a successor. */
class AdmissionAndSuccessionTest {
  private final BalancerFixtures.Recorder actions = new BalancerFixtures.Recorder();

  private Balancer balancer(int maxOpen) {
    return new Balancer(
        BalancerFixtures.settings(
            false,
            new Settings.Limits(4, true, true, false, false, false, 1, 0.1, 60, 32, maxOpen)),
        1,
        actions);
  }

  private void request(Balancer balancer, double now, String id) {
    balancer.onRequest(now, BalancerFixtures.request(id, "k" + id, "safe", 1));
  }

  private void answer(Balancer balancer, double now, String id) {
    BalancerFixtures.Action sent =
        actions.ofKind("send").stream()
            .filter(action -> action.requestId().equals(id))
            .findFirst()
            .orElseThrow();
    balancer.onOutcome(now, BalancerFixtures.outcome(id, 0, sent.number(), Outcome.Result.OK));
  }

  @Test
  void requestsAboveTheOpenLimitAreRefusedAtOnce() {
    Balancer balancer = balancer(6); // Reads may use 5 of the 6 open requests.
    balancer.onMembershipUpdate(100, BalancerFixtures.cachedList(8));
    for (int i = 0; i < 5; i++) {
      request(balancer, 100, "r" + i);
    }
    assertThat(actions.ofKind("refuse")).isEmpty();
    request(balancer, 100, "one more");
    assertThat(actions.ofKind("refuse"))
        .extracting(BalancerFixtures.Action::requestId)
        .containsExactly("one more");
    answer(balancer, 100.1, "r0");
    request(balancer, 100.1, "next");
    assertThat(actions.ofKind("refuse")).hasSize(1);
    answer(balancer, 100.2, "r1");
    answer(balancer, 100.2, "r2");
    // Another process of this instance has 2 open requests, which leaves no room with the 3 here.
    balancer.setOpenInOtherProcess(2);
    request(balancer, 100.2, "shared");
    assertThat(actions.ofKind("refuse"))
        .extracting(BalancerFixtures.Action::requestId)
        .contains("shared");
    balancer.setOpenInOtherProcess(0);
    request(balancer, 100.2, "alone");
    assertThat(actions.ofKind("refuse")).hasSize(2);
  }

  private static List<ServerEntry> oneWarmAndOneCold(double startedAt) {
    return List.of(
        BalancerFixtures.server(1), BalancerFixtures.server(2, ServerEntry.State.READY, startedAt));
  }

  /** Counts the attempts at the cold server in two seconds if its answers take this long. */
  private int coldSends(double answerSeconds) {
    Balancer balancer = balancer(20000);
    balancer.onMembershipUpdate(
        100, BalancerFixtures.update(MembershipUpdate.Kind.CACHED, oneWarmAndOneCold(100)));
    balancer.restore(new LearnedState(100, 200, 200, Map.of()));
    int cold = 0;
    for (int i = 0; i < 1000; i++) {
      double now = 100 + i * 0.002;
      String id = "r" + i;
      request(balancer, now, id);
      for (BalancerFixtures.Action action : actions.ofKind("send")) {
        cold += action.number() == 2 ? 1 : 0;
        balancer.onOutcome(
            now,
            new Outcome(
                action.requestId(),
                0,
                action.number(),
                Outcome.Result.OK,
                answerSeconds,
                true,
                Outcome.Note.HIT,
                null));
      }
      actions.recorded.clear();
    }
    return cold;
  }

  @Test
  void aColdServerGetsMoreRequestsIfItAnswersQuickly() {
    int sendsIfSaturated = coldSends(0.45);
    int sendsIfQuick = coldSends(0.02);
    // By contract 10 per second at first, rising slowly; fewer, since the server is saturated.
    assertThat(sendsIfSaturated).isBetween(1, 60);
    // At most twice that: the contract's limit if all other balancers do the same.
    assertThat(sendsIfQuick).isBetween((int) (1.9 * sendsIfSaturated), 2 * sendsIfSaturated);
  }

  @Test
  void aSuccessorUsesTheLearnedStateFromTheStart() {
    for (boolean inherits : new boolean[] {true, false}) {
      actions.recorded.clear();
      Balancer balancer = balancer(20000);
      balancer.onMembershipUpdate(
          110, BalancerFixtures.update(MembershipUpdate.Kind.CACHED, oneWarmAndOneCold(100)));
      if (inherits) {
        balancer.restore(new LearnedState(50, 100, 100, Map.of(1L, 0.5)));
      }
      for (int i = 0; i < 90; i++) {
        request(balancer, 110 + i * 0.01, "r" + i);
      }
      long cold = actions.ofKind("send").stream().filter(action -> action.number() == 2).count();
      assertThat(cold > 0).as("inherits " + inherits).isEqualTo(inherits);
      assertThat(balancer.learnedState(111).keyShares().get(1L) < 1).isEqualTo(inherits);
    }
  }

  @Test
  void anUpdateByOperatorsDoesNotEndCallsForTheList() {
    BalancerFixtures.Recorder recorder = new BalancerFixtures.Recorder();
    Balancer callingBalancer = new Balancer(BalancerFixtures.settings(true, 4, true), 1, recorder);
    callingBalancer.onMembershipUpdate(100, BalancerFixtures.cachedList(2));
    callingBalancer.onMembershipUpdate(
        101, BalancerFixtures.update(MembershipUpdate.Kind.FAILED, List.of()));
    double due = 101 + recorder.ofKind("wake").get(recorder.ofKind("wake").size() - 1).value();
    callingBalancer.onMembershipUpdate(
        101.01,
        BalancerFixtures.update(
            MembershipUpdate.Kind.OPERATOR,
            List.of(BalancerFixtures.server(1, ServerEntry.State.DRAINING, 0))));
    recorder.recorded.clear();
    callingBalancer.onTimer(due, Balancer.FEED_TIMER_TOKEN);
    assertThat(recorder.ofKind("subscribe")).as("still calls for the list").hasSize(1);
    request(callingBalancer, due, "r");
    assertThat(recorder.ofKind("send"))
        .extracting(BalancerFixtures.Action::number)
        .containsExactly(2L);
  }
}
