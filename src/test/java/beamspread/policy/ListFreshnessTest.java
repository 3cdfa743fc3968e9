package beamspread.policy;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.model.ListEvidence;
import beamspread.model.Outcome;
import org.junit.jupiter.api.Test;

/** Until when a list may be acted on. The grace is 2 s, and a change counts as told after 6 s. */
class ListFreshnessTest {
  /** 6 s, and the grace less what is left to the way to the socket. */
  private static final double USABLE = 7.75;

  private final ListFreshness asked = new ListFreshness(Rig.settings(true, 4, true));
  private final ListFreshness pushed = new ListFreshness(Rig.settings(false, 4, true));

  @Test
  void withoutAnyEvidenceItNeverExpires() {
    assertThat(asked.expired(1e9)).isFalse();
    asked.evidence(5, ListEvidence.REACHED);
    asked.evidence(6, ListEvidence.UNREACHABLE);
    assertThat(asked.expired(1e9)).isFalse();
  }

  @Test
  void aListThatWasGivenAtTheStartExpiresLikeOneThatWasTold() {
    asked.evidence(100, ListEvidence.STARTED);
    assertThat(asked.expired(100 + USABLE - 0.01)).isFalse();
    assertThat(asked.expired(100 + USABLE)).isTrue();
  }

  @Test
  void eachConfirmationCountsFromItsOwnTime() {
    asked.evidence(100, ListEvidence.STARTED);
    asked.evidence(120, ListEvidence.CONFIRMED);
    assertThat(asked.expired(120)).isFalse();
    assertThat(asked.expiresAt()).isEqualTo(120 + USABLE);
  }

  @Test
  void aConfirmationThatLayUnreadTakesNothingBack() {
    asked.evidence(100, ListEvidence.STARTED);
    asked.evidence(110, ListEvidence.CONFIRMED);
    asked.evidence(105, ListEvidence.CONFIRMED);
    assertThat(asked.expiresAt()).isEqualTo(110 + USABLE);
  }

  @Test
  void aServiceThatCannotBeReachedHasNothingToTell() {
    asked.evidence(100, ListEvidence.STARTED);
    for (double now = 101; now < 160; now++) {
      asked.evidence(now, ListEvidence.UNREACHABLE);
      assertThat(asked.expired(now + 0.9)).isFalse();
    }
    assertThat(asked.expiresAt()).isEqualTo(159 + USABLE);
  }

  /** What had changed by the time of the first sign of it may have been told since. */
  @Test
  void aServiceThatWasReachedOnceStaysSoUntilItConfirmsTheList() {
    asked.evidence(100, ListEvidence.STARTED);
    asked.evidence(103, ListEvidence.REACHED);
    asked.evidence(105, ListEvidence.UNREACHABLE);
    asked.evidence(107, ListEvidence.UNREACHABLE);
    assertThat(asked.expiresAt()).isEqualTo(100 + USABLE);
    asked.evidence(108, ListEvidence.CONFIRMED);
    asked.evidence(109, ListEvidence.UNREACHABLE);
    assertThat(asked.expiresAt()).isEqualTo(109 + USABLE);
  }

  @Test
  void whatThePushingAgentHasCountsAtOnce() {
    pushed.evidence(100, ListEvidence.CONFIRMED);
    assertThat(pushed.expiresAt()).isEqualTo(100 + USABLE);
    pushed.evidence(101, ListEvidence.REACHED);
    assertThat(pushed.expiresAt()).isEqualTo(101.75);
    pushed.evidence(102, ListEvidence.CONFIRMED);
    assertThat(pushed.expiresAt()).isEqualTo(102 + USABLE);
  }

  @Test
  void afterAMoveItExpiresTwoSecondsSoonerAndNeverLaterThanBefore() {
    asked.evidence(100, ListEvidence.CONFIRMED);
    asked.evidence(101.5, ListEvidence.MOVED);
    assertThat(asked.expiresAt()).isEqualTo(101.5 + 4 + 1.75);
    asked.evidence(103, ListEvidence.MOVED);
    assertThat(asked.expiresAt()).as("moved again").isEqualTo(101.5 + 4 + 1.75);
    asked.evidence(104, ListEvidence.CONFIRMED);
    assertThat(asked.expiresAt()).isEqualTo(104 + USABLE);
    asked.evidence(108, ListEvidence.MOVED);
    assertThat(asked.expiresAt()).as("due before").isEqualTo(104 + USABLE);
  }

  @Test
  void aBalancerSendsNothingByAListThatHasExpiredAndGoesOnWithTheNext() {
    Rig.Recorder actions = new Rig.Recorder();
    Balancer balancer = new Balancer(Rig.settings(true, 4, true), 1, actions);
    balancer.listEvidence(100, ListEvidence.STARTED);
    balancer.membership(100, Rig.fleet(5));
    balancer.request(100 + USABLE - 0.1, Rig.request("before", "a", "safe", 1));
    assertThat(actions.of("send")).hasSize(1);
    balancer.request(100 + USABLE, Rig.request("after", "a", "safe", 1));
    balancer.request(100 + USABLE, Rig.request("write", null, "unsafe", 1));
    assertThat(actions.of("send")).hasSize(1);
    assertThat(actions.of("refuse")).hasSize(2);
    assertThat(balancer.unserved()).containsEntry(UnservedCause.LIST_EXPIRED, 2L);
    balancer.membership(110, Rig.fleet(5));
    balancer.listEvidence(110, ListEvidence.CONFIRMED);
    balancer.request(110, Rig.request("again", "b", "safe", 1));
    assertThat(actions.of("send")).hasSize(2);
  }

  /** An attempt that fails after the expiry is not followed by another. */
  @Test
  void noRetryGoesOutByAListThatHasExpired() {
    Rig.Recorder actions = new Rig.Recorder();
    Balancer balancer = new Balancer(Rig.settings(true, 4, true), 1, actions);
    balancer.listEvidence(100, ListEvidence.STARTED);
    balancer.membership(100, Rig.fleet(5));
    balancer.request(100 + USABLE - 0.1, Rig.request("r", "a", "safe", 1));
    Rig.Act sent = actions.of("send").get(0);
    balancer.outcome(
        100 + USABLE + 0.1, Rig.outcome("r", 0, sent.number(), Outcome.Result.CONNECT_FAILED));
    assertThat(actions.of("send")).hasSize(1);
    assertThat(actions.of("refuse")).hasSize(1);
  }
}
