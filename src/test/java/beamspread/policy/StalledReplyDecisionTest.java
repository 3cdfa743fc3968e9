package beamspread.policy;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.model.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What becomes of a request whose reply has begun and makes no progress. */
class StalledReplyDecisionTest {
  private static final double WAIT_SECONDS = 2;
  private static final double STALL_SECONDS = 0.4;

  private final Decisions actions = new Decisions();

  /** Records the attempts that are given up. */
  private static final class Decisions extends BalancerFixtures.Recorder {
    @Override
    public void giveUp(String requestId, int attempt) {
      recorded.add(new BalancerFixtures.Action("giveUp", requestId, attempt, 0));
    }
  }

  private Balancer balancer(boolean parallelAttempts) {
    Balancer balancer =
        new Balancer(BalancerFixtures.settings(false, 6, parallelAttempts), 1, actions);
    balancer.onMembershipUpdate(100, BalancerFixtures.cachedList(8));
    return balancer;
  }

  private List<Long> sentTo() {
    return actions.ofKind("send").stream().map(BalancerFixtures.Action::number).toList();
  }

  /** Sends a request of this class at second 100 and reports its reply as stalled. */
  private Balancer stalled(String id, String serviceClass, boolean parallelAttempts) {
    Balancer balancer = balancer(parallelAttempts);
    balancer.onRequest(100, BalancerFixtures.request(id, "k", serviceClass, WAIT_SECONDS));
    balancer.onReplyStalled(100 + STALL_SECONDS, id, 0, STALL_SECONDS);
    return balancer;
  }

  @Test
  void anotherServerIsAskedBesideTheFirst() {
    Balancer balancer = stalled("r", "safe", true);
    assertThat(sentTo()).hasSize(2).doesNotHaveDuplicates();
    balancer.onReplyStalled(100.5, "r", 0, 0.5);
    assertThat(sentTo()).as("one has not stalled yet").hasSize(2);
    balancer.onReplyStalled(100.8, "r", 1, STALL_SECONDS);
    assertThat(sentTo()).as("both have").hasSize(3).doesNotHaveDuplicates();
    assertThat(actions.ofKind("giveUp")).isEmpty();
    assertThat(actions.ofKind("cancel")).isEmpty();
    balancer.onOutcome(100.9, BalancerFixtures.outcome("r", 0, sentTo().get(0), Outcome.Result.OK));
    balancer.onReplyStalled(101, "r", 1, 0.6);
    assertThat(sentTo()).as("it is answered").hasSize(3);
  }

  @Test
  void theNextServerIsAskedWhenTheSecondFailsBesideTheStalledFirst() {
    Balancer balancer = stalled("r", "safe", true);
    balancer.onOutcome(
        100.5, BalancerFixtures.outcome("r", 1, sentTo().get(1), Outcome.Result.RESET));
    assertThat(sentTo()).hasSize(3);
    assertThat(actions.ofKind("refuse")).isEmpty();
    assertThat(actions.ofKind("fail")).isEmpty();
  }

  @Test
  void noServerIsAskedOnceFurtherAttemptsAreForbidden() {
    Balancer balancer = balancer(true);
    balancer.onRequest(100, BalancerFixtures.request("r", "k", "safe", WAIT_SECONDS));
    balancer.onNoFurtherAttempts("r");
    balancer.onReplyStalled(100.4, "r", 0, STALL_SECONDS);
    assertThat(sentTo()).hasSize(1);
    balancer.onOutcome(
        100.5, BalancerFixtures.outcome("r", 0, sentTo().get(0), Outcome.Result.RESET));
    assertThat(sentTo()).hasSize(1);
    assertThat(actions.ofKind("refuse")).hasSize(1);
  }

  @Test
  void anUnsafeRequestWaitsForItsOnlyAttempt() {
    for (boolean parallelAttempts : new boolean[] {true, false}) {
      Balancer balancer = stalled("r" + parallelAttempts, "unsafe", parallelAttempts);
      balancer.onReplyStalled(101.9, "r" + parallelAttempts, 0, 1.9);
    }
    assertThat(sentTo()).hasSize(2);
    assertThat(actions.ofKind("giveUp")).isEmpty();
    assertThat(actions.ofKind("fail")).isEmpty();
  }

  @Test
  void whereOneAttemptIsAllowedAtATimeItGetsMostOfTheTime() {
    Balancer balancer = stalled("r", "safe", false);
    balancer.onReplyStalled(101.3, "r", 0, 1.3);
    assertThat(actions.ofKind("giveUp")).isEmpty();
    balancer.onReplyStalled(101.4, "r", 0, 1.4);
    assertThat(actions.ofKind("giveUp")).hasSize(1);
    balancer.onOutcome(
        101.4, BalancerFixtures.outcome("r", 0, sentTo().get(0), Outcome.Result.TIMEOUT));
    assertThat(sentTo()).hasSize(2).doesNotHaveDuplicates();
  }

  @Test
  void pausesOfAServerThatNeverEndedAreNotWaitedFor() {
    StallPatience patience = new StallPatience();
    assertThat(patience.isExhausted(100, STALL_SECONDS, 1.6)).isFalse();
    patience.recordGivenUp(100);
    patience.recordGivenUp(101);
    assertThat(patience.isExhausted(102, STALL_SECONDS, 1.6)).isTrue();
    patience.recordEnd();
    assertThat(patience.isExhausted(102, STALL_SECONDS, 1.6)).isFalse();
    patience.recordGivenUp(102);
    patience.recordGivenUp(102);
    assertThat(patience.isExhausted(120, STALL_SECONDS, 1.6)).as("long ago").isFalse();
  }

  @Test
  void aRequestIsNotGivenUpWithoutAnotherServerToAsk() {
    Balancer balancer = new Balancer(BalancerFixtures.settings(false, 6, false), 1, actions);
    balancer.onMembershipUpdate(100, BalancerFixtures.cachedList(1));
    balancer.onRequest(100, BalancerFixtures.request("r", "k", "safe", WAIT_SECONDS));
    balancer.onReplyStalled(101.9, "r", 0, 1.9);
    assertThat(actions.ofKind("giveUp")).isEmpty();
  }

  @Test
  void aKeyedRequestIsNotRepeatedBeyondItsWindow() {
    Balancer balancer = stalled("r", "all", false);
    balancer.onReplyStalled(101.9, "r", 0, 1.9);
    assertThat(actions.ofKind("giveUp")).as("the window is 1 s").isEmpty();
    assertThat(sentTo()).hasSize(1);
  }
}
