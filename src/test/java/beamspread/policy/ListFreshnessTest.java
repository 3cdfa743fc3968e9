package beamspread.policy;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.model.ListEvidence;
import beamspread.model.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The list's expiry, with a drain grace of 2 s; a change counts as delivered after 6 s. */
class ListFreshnessTest {
  /** 6 s plus the drain grace, less the reserve for the time until the write to the socket. */
  private static final double USABLE_SECONDS = 7.75;

  private final ListFreshness calledFor =
      new ListFreshness(BalancerFixtures.settings(true, 4, true));
  private final ListFreshness pushed = new ListFreshness(BalancerFixtures.settings(false, 4, true));

  @Test
  void neverExpiresWithoutEvidence() {
    assertThat(calledFor.isExpired(1e9)).isFalse();
    calledFor.record(5, ListEvidence.REACHED);
    calledFor.record(6, ListEvidence.UNREACHABLE);
    assertThat(calledFor.isExpired(1e9)).isFalse();
  }

  @Test
  void aListGivenAtTheStartExpiresLikeAConfirmedOne() {
    calledFor.record(100, ListEvidence.STARTED);
    assertThat(calledFor.isExpired(100 + USABLE_SECONDS - 0.01)).isFalse();
    assertThat(calledFor.isExpired(100 + USABLE_SECONDS)).isTrue();
  }

  @Test
  void aConfirmationExtendsTheExpiry() {
    calledFor.record(100, ListEvidence.STARTED);
    calledFor.record(120, ListEvidence.CONFIRMED);
    assertThat(calledFor.isExpired(120)).isFalse();
    assertThat(calledFor.expiresAt()).isEqualTo(120 + USABLE_SECONDS);
  }

  @Test
  void anOlderConfirmationDoesNotShortenTheExpiry() {
    calledFor.record(100, ListEvidence.STARTED);
    calledFor.record(110, ListEvidence.CONFIRMED);
    calledFor.record(105, ListEvidence.CONFIRMED);
    assertThat(calledFor.expiresAt()).isEqualTo(110 + USABLE_SECONDS);
  }

  /** Guards against a list that never expires in an outage (incident 0005). */
  @Test
  void refusedCallsDoNotExtendTheExpiry() {
    for (ListFreshness freshness : List.of(calledFor, pushed)) {
      freshness.record(100, ListEvidence.CONFIRMED);
      for (double now = 101; now < 160; now++) {
        freshness.record(now, ListEvidence.UNREACHABLE);
        assertThat(freshness.expiresAt()).isEqualTo(100 + USABLE_SECONDS);
      }
    }
  }

  @Test
  void timeRunsOnAfterContactUntilAConfirmation() {
    calledFor.record(100, ListEvidence.STARTED);
    calledFor.record(103, ListEvidence.REACHED);
    calledFor.record(105, ListEvidence.UNREACHABLE);
    assertThat(calledFor.expiresAt()).isEqualTo(100 + USABLE_SECONDS);
    calledFor.record(108, ListEvidence.CONFIRMED);
    calledFor.record(109, ListEvidence.UNREACHABLE);
    assertThat(calledFor.expiresAt()).isEqualTo(108 + USABLE_SECONDS);
  }

  @Test
  void changesAtThePushingAgentCountAsDeliveredAtOnce() {
    pushed.record(100, ListEvidence.CONFIRMED);
    assertThat(pushed.expiresAt()).isEqualTo(100 + USABLE_SECONDS);
    pushed.record(101, ListEvidence.REACHED);
    assertThat(pushed.expiresAt()).isEqualTo(101.75);
    pushed.record(102, ListEvidence.CONFIRMED);
    assertThat(pushed.expiresAt()).isEqualTo(102 + USABLE_SECONDS);
  }

  @Test
  void aMoveShortensTheExpiryByTwoSecondsAndNeverExtendsIt() {
    calledFor.record(100, ListEvidence.CONFIRMED);
    calledFor.record(101.5, ListEvidence.MOVED);
    assertThat(calledFor.expiresAt()).isEqualTo(101.5 + 4 + 1.75);
    calledFor.record(103, ListEvidence.MOVED);
    assertThat(calledFor.expiresAt()).as("moved again").isEqualTo(101.5 + 4 + 1.75);
    calledFor.record(104, ListEvidence.CONFIRMED);
    assertThat(calledFor.expiresAt()).isEqualTo(104 + USABLE_SECONDS);
    calledFor.record(108, ListEvidence.MOVED);
    assertThat(calledFor.expiresAt()).as("due before").isEqualTo(104 + USABLE_SECONDS);
  }

  @Test
  void sendsNothingWithAnExpiredListAndResumesWithAConfirmedOne() {
    BalancerFixtures.Recorder actions = new BalancerFixtures.Recorder();
    Balancer balancer = new Balancer(BalancerFixtures.settings(true, 4, true), 1, actions);
    balancer.onListEvidence(100, ListEvidence.STARTED);
    balancer.onMembershipUpdate(100, BalancerFixtures.cachedList(5));
    balancer.onRequest(
        100 + USABLE_SECONDS - 0.1, BalancerFixtures.request("before", "a", "safe", 1));
    assertThat(actions.ofKind("send")).hasSize(1);
    balancer.onRequest(100 + USABLE_SECONDS, BalancerFixtures.request("after", "a", "safe", 1));
    balancer.onRequest(100 + USABLE_SECONDS, BalancerFixtures.request("write", null, "unsafe", 1));
    assertThat(actions.ofKind("send")).hasSize(1);
    assertThat(actions.ofKind("refuse")).hasSize(2);
    assertThat(balancer.unservedByCause()).containsEntry(UnservedCause.LIST_EXPIRED, 2L);
    balancer.onMembershipUpdate(110, BalancerFixtures.cachedList(5));
    balancer.onListEvidence(110, ListEvidence.CONFIRMED);
    balancer.onRequest(110, BalancerFixtures.request("again", "b", "safe", 1));
    assertThat(actions.ofKind("send")).hasSize(2);
  }

  /** An attempt that fails after the expiry is not retried. */
  @Test
  void doesNotRetryWithAnExpiredList() {
    BalancerFixtures.Recorder actions = new BalancerFixtures.Recorder();
    Balancer balancer = new Balancer(BalancerFixtures.settings(true, 4, true), 1, actions);
    balancer.onListEvidence(100, ListEvidence.STARTED);
    balancer.onMembershipUpdate(100, BalancerFixtures.cachedList(5));
    balancer.onRequest(100 + USABLE_SECONDS - 0.1, BalancerFixtures.request("r", "a", "safe", 1));
    BalancerFixtures.Action sent = actions.ofKind("send").get(0);
    balancer.onOutcome(
        100 + USABLE_SECONDS + 0.1,
        BalancerFixtures.outcome("r", 0, sent.number(), Outcome.Result.CONNECT_FAILED));
    assertThat(actions.ofKind("send")).hasSize(1);
    assertThat(actions.ofKind("refuse")).hasSize(1);
  }
}
