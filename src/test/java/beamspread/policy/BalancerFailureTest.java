package beamspread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.model.Hashes;
import beamspread.model.LoadReport;
import beamspread.model.MembershipUpdate;
import beamspread.model.Outcome;
import beamspread.model.Request;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** One test for each failure that was found in experiments. */
class BalancerFailureTest {
  private static final Settings SETTINGS = BalancerFixtures.settings(false, 4, true);

  private final BalancerFixtures.Recorder actions = new BalancerFixtures.Recorder();
  private final Balancer balancer = new Balancer(SETTINGS, 1, actions);

  private static ServerHealth server(long id) {
    return new ServerHealth(BalancerFixtures.server(id), 100, SETTINGS);
  }

  private static PendingRequest pendingRequest(long serial, String key) {
    return new PendingRequest(
        BalancerFixtures.request("r" + serial, key, "safe", 1),
        SETTINGS.services().get(0),
        Hashes.of(key),
        serial,
        100);
  }

  /** Sends a request and answers it at once with a hit; returns the id of its server. */
  private long serve(double now, String id, String key) {
    balancer.onRequest(now, BalancerFixtures.request(id, key, "safe", 1));
    BalancerFixtures.Action sent = actions.recorded.get(actions.recorded.size() - 1);
    assertEquals("send", sent.kind());
    balancer.onOutcome(now, BalancerFixtures.outcome(id, 0, sent.number(), Outcome.Result.OK));
    return sent.number();
  }

  @Test
  void aHotKeyGetsSeveralServers() {
    balancer.onMembershipUpdate(100, BalancerFixtures.cachedList(20));
    TreeSet<Long> hot = new TreeSet<>();
    TreeSet<Long> mild = new TreeSet<>();
    for (int i = 0; i < 1000; i++) {
      hot.add(serve(100 + i * 0.001, "h" + i, "hot"));
      if (i % 100 == 0) {
        mild.add(serve(100 + i * 0.001, "m" + i, "mild"));
      }
      serve(100 + i * 0.001, "o" + i, "other" + i);
    }
    assertTrue(hot.size() >= 8, "owners of a key with half of all requests: " + hot.size());
    assertEquals(1, mild.size());
  }

  @Test
  void retryBudgetLimitsRetriesIfEverythingFails() {
    balancer.onMembershipUpdate(100, BalancerFixtures.cachedList(10));
    for (int i = 0; i < 200; i++) {
      String id = "r" + i;
      balancer.onRequest(100 + i * 0.001, BalancerFixtures.request(id, null, "safe", 1));
      for (int attempt = 0; attempt < 4; attempt++) {
        List<BalancerFixtures.Action> sends = actions.ofKind("send");
        BalancerFixtures.Action last = sends.get(sends.size() - 1);
        if (last.requestId().equals(id)) {
          balancer.onOutcome(
              100 + i * 0.001,
              BalancerFixtures.outcome(id, attempt, last.number(), Outcome.Result.ERROR));
        }
      }
    }
    assertTrue(actions.ofKind("send").size() <= 211, "sends: " + actions.ofKind("send").size());
    assertEquals(200, actions.ofKind("refuse").size());
  }

  @Test
  void aSlowServerLosesKeysAndRecoversThem() {
    ServerHealth slow = server(1);
    for (int i = 0; i < 20; i++) {
      slow.addSample(100 + i * 0.1, 3, 1);
    }
    assertTrue(slow.keyShare(102) < 0.2, "share " + slow.keyShare(102));
    int kept = 0;
    for (long key = 0; key < 1000; key++) {
      kept += slow.keepsKey(102, Hashes.mix(key), 1) ? 1 : 0;
    }
    assertTrue(kept < 250, "keys kept: " + kept);
    assertEquals(1, slow.keyShare(160));
  }

  /** A server that resets connections and then answers has not restarted, so it is not cold. */
  @Test
  void aServerThatResetsItsFirstConnectionsIsNotCold() {
    ServerHealth first = server(1);
    double now = 100;
    for (int i = 0; i < 3; i++) {
      now += 0.1;
      first.recordSent();
      first.recordEnd(
          now, BalancerFixtures.outcome("r" + i, 0, 1, Outcome.Result.RESET), 60, false);
    }
    assertTrue(first.isSuspect());
    first.recordSent();
    first.recordEnd(now + 0.1, BalancerFixtures.outcome("r3", 0, 1, Outcome.Result.OK), 60, false);
    assertFalse(first.isSuspect());
    assertEquals(1, first.warmth(now + 0.1));
  }

  @Test
  void saturationOfAllServersMovesNoKey() {
    ServerHealth server = server(1);
    for (int i = 0; i < 20; i++) {
      server.addSample(100 + i * 0.1, 1.4, 1.5);
    }
    assertEquals(1, server.keyShare(102));
  }

  @Test
  void saturationDecaysWithoutRequests() {
    ServerHealth server = server(1);
    for (int i = 0; i < 20; i++) {
      server.addSample(100, 4, 1);
    }
    assertTrue(server.saturation(100) > 3);
    assertTrue(server.saturation(110) < 0.5);
  }

  @Test
  void aServerThatResetsConnectionsIsNotCold() {
    ServerHealth server = server(1);
    endAttempt(server, 99.5, Outcome.Result.OK);
    for (int i = 0; i < 5; i++) {
      endAttempt(server, 100, Outcome.Result.RESET);
    }
    assertFalse(server.isSuspect());
    endAttempt(server, 100.6, Outcome.Result.RESET);
    endAttempt(server, 100.6, Outcome.Result.RESET);
    assertTrue(server.isSuspect());
    endAttempt(server, 101.4, Outcome.Result.CONNECT_FAILED);
    endAttempt(server, 101.9, Outcome.Result.OK);
    assertFalse(server.isSuspect());
    assertEquals(1, server.warmth(102));
  }

  @Test
  void aServerThatRestartsBeforeTheListReportsItIsCold() {
    ServerHealth server = server(1);
    endAttempt(server, 99, Outcome.Result.OK);
    assertFalse(endAttempt(server, 100, Outcome.Result.CONNECT_FAILED));
    assertFalse(endAttempt(server, 100, Outcome.Result.CONNECT_FAILED));
    assertTrue(server.isSuspect());
    assertFalse(server.isTrialDue(100.1));
    assertTrue(server.isTrialDue(101));
    assertFalse(endAttempt(server, 101, Outcome.Result.CONNECT_FAILED));
    assertFalse(endAttempt(server, 103, Outcome.Result.CONNECT_FAILED));
    endAttempt(server, 105, Outcome.Result.OK);
    assertFalse(server.isSuspect());
    assertEquals(SETTINGS.contract().coldFrom(), server.warmth(105), 1e-9);
    assertEquals(1, server.warmth(105 + SETTINGS.contract().warmWithin()));
  }

  @Test
  void aServerAtItsConnectionLimitIsNotCold() {
    ServerHealth server = server(1);
    assertTrue(endAttempt(server, 100, Outcome.Result.CONNECT_FAILED));
    assertTrue(endAttempt(server, 100, Outcome.Result.CONNECT_FAILED));
    endAttempt(server, 101, Outcome.Result.OK);
    assertFalse(server.isSuspect());
    assertEquals(1, server.warmth(101));
  }

  @Test
  void unusedConnectionsAreClosedAfterARunningServerRefusesOne() {
    balancer.onMembershipUpdate(100, BalancerFixtures.cachedList(1));
    balancer.onRequest(100, BalancerFixtures.request("a", "k", "unsafe", 1));
    balancer.onOutcome(100.1, BalancerFixtures.outcome("a", 0, 1, Outcome.Result.OK));
    assertEquals(0, actions.ofKind("closeIdle").size());
    balancer.onMembershipUpdate(101, BalancerFixtures.cachedList(2));
    for (int i = 0; i < 40; i++) {
      balancer.onRequest(102, BalancerFixtures.request("r" + i, "key" + i, "unsafe", 1));
    }
    List<BalancerFixtures.Action> sends = actions.ofKind("send");
    BalancerFixtures.Action refused =
        sends.stream().filter(action -> action.number() == 2).findFirst().orElseThrow();
    balancer.onOutcome(
        103, BalancerFixtures.outcome(refused.requestId(), 0, 2, Outcome.Result.CONNECT_FAILED));
    assertEquals(
        0, actions.ofKind("closeIdle").stream().filter(action -> action.number() == 1).count());
    for (BalancerFixtures.Action action : actions.ofKind("send")) {
      balancer.onOutcome(
          104, BalancerFixtures.outcome(action.requestId(), 0, action.number(), Outcome.Result.OK));
    }
    List<BalancerFixtures.Action> closesOfServer1 =
        actions.ofKind("closeIdle").stream().filter(a -> a.number() == 1).toList();
    assertEquals(1, closesOfServer1.size(), "closed once, when its last attempt has ended");
  }

  private static boolean endAttempt(ServerHealth server, double now, Outcome.Result result) {
    server.recordSent();
    return server.recordEnd(now, BalancerFixtures.outcome("a", 0, server.id, result), 60, true);
  }

  @Test
  void onlyOneFetchOfAKeyIsInFlight() {
    balancer.onMembershipUpdate(100, BalancerFixtures.cachedList(1));
    balancer.onRequest(100, BalancerFixtures.request("a", "k", "safe", 1));
    balancer.onRequest(100, BalancerFixtures.request("b", "k", "safe", 1));
    assertEquals(1, actions.ofKind("send").size());
    balancer.onOutcome(100.1, BalancerFixtures.outcome("a", 0, 1, Outcome.Result.OK));
    assertEquals(2, actions.ofKind("send").size());
    assertEquals("b", actions.ofKind("send").get(1).requestId());
  }

  /** Fails 40 fetches one after another; returns the time at the end. */
  private static double failFetches(OriginGuard guard) {
    double now = 100;
    for (int i = 0; i < 40; i++) {
      PendingRequest pending = pendingRequest(2L * i, "k" + i);
      guard.recordStart(now, i, pending, false);
      now += 0.3;
      guard.recordEnd(now, pending, false, true, true);
    }
    return now;
  }

  @Test
  void failedFetchesShrinkTheWindow() {
    OriginGuard guard = new OriginGuard();
    double now = failFetches(guard);
    assertTrue(guard.isFailing());
    assertFalse(guard.isFull(now));
    PendingRequest only = pendingRequest(99, "only");
    guard.recordStart(now, 99, only, false);
    assertTrue(guard.isFull(now + 0.1));
    guard.recordEnd(now + 0.1, only, true, false, true);
    assertFalse(guard.isFull(now + 0.1));
  }

  @Test
  void aRetriedFetchReleasesItsWindowSlotAndItsKey() {
    balancer.onMembershipUpdate(100, BalancerFixtures.cachedList(1));
    balancer.onRequest(100, BalancerFixtures.request("warm", "other", "safe", 1));
    balancer.onOutcome(100.1, BalancerFixtures.outcome("warm", 0, 1, Outcome.Result.OK));
    balancer.onMembershipUpdate(101, BalancerFixtures.cachedList(2));
    balancer.onRequest(102, BalancerFixtures.request("a", "k", "safe", 1));
    List<BalancerFixtures.Action> sends = actions.ofKind("send");
    long owner = sends.get(sends.size() - 1).number();
    balancer.onOutcome(102.1, BalancerFixtures.outcome("a", 0, owner, Outcome.Result.ERROR));
    balancer.onOutcome(102.2, BalancerFixtures.outcome("a", 1, 3 - owner, Outcome.Result.OK));
    actions.recorded.clear();
    balancer.onRequest(103, BalancerFixtures.request("b", "k", "safe", 1));
    assertEquals(1, actions.ofKind("send").size(), "sent without waiting for the ended fetch");
  }

  @Test
  void serversThatServeNothingAreSuspectUnlessManyServersFail() {
    List<Outcome.Result> results =
        List.of(Outcome.Result.TIMEOUT, Outcome.Result.FULL, Outcome.Result.ERROR);
    for (Outcome.Result result : results) {
      for (boolean fewServersFail : new boolean[] {true, false}) {
        ServerHealth server = server(1);
        for (int i = 0; i < ServerHealth.SUSPECT_AFTER_UNSERVED; i++) {
          assertFalse(server.isSuspect());
          server.recordSent();
          server.recordEnd(
              100 + i, BalancerFixtures.outcome("a", 0, 1, result), 60, fewServersFail);
        }
        assertEquals(fewServersFail, server.isSuspect(), result + " " + fewServersFail);
        assertFalse(fewServersFail && server.isTrialDue(102.1));
        endAttempt(server, 103, Outcome.Result.OK);
        assertFalse(server.isSuspect());
        assertEquals(1, server.warmth(103), "the server has not restarted");
      }
    }
  }

  @Test
  void aServerThatServesSomeRequestsIsNotSuspect() {
    ServerHealth server = server(1);
    endAttempt(server, 100, Outcome.Result.OK);
    for (int i = 0; i < 10; i++) {
      endAttempt(server, 100.5, Outcome.Result.FULL);
    }
    assertFalse(server.isSuspect());
    endAttempt(server, 101.2, Outcome.Result.FULL);
    assertTrue(server.isSuspect(), "nothing served for a second");
    for (int i = 0; i < 10; i++) {
      endAttempt(server, 101.3, Outcome.Result.FULL);
    }
    assertTrue(server.isTrialDue(101.8), "earlier attempts don't delay a trial");
    endAttempt(server, 101.8, Outcome.Result.FULL);
    assertTrue(server.isTrialDue(102.4), "a trial that ends at once doesn't delay the next");
  }

  @Test
  void minimumFetchRateFallsWithTheFailureRate() {
    double[] passed = new double[2];
    for (int i = 0; i < 2; i++) {
      OriginGuard guard = new OriginGuard();
      double now = failFetches(guard);
      for (int good = 0; good < 10 * i; good++) {
        PendingRequest pending = pendingRequest(2L * good, "good" + good);
        guard.recordStart(now, 200 + good, pending, true);
        guard.recordEnd(now, pending, true, false, true);
      }
      guard.minFetchRate = 20;
      while (!guard.isFull(now)) {
        guard.recordStart(now, 1000 + (long) passed[i], pendingRequest(7, "out"), false);
        passed[i]++;
      }
      passed[i] = 0;
      for (int ms = 0; ms < 1000; ms++) {
        if (!guard.isFull(now + ms / 1000.0)) {
          guard.recordStart(now, 5000 + ms, pendingRequest(7, "floor"), false);
          passed[i]++;
        }
      }
    }
    assertTrue(
        passed[0] * 3 < passed[1], passed[0] + " while failing, " + passed[1] + " after recovery");
  }

  @Test
  void refusesRequestsThatCannotBeAnsweredWithinTheirAim() {
    balancer.onMembershipUpdate(100, BalancerFixtures.cachedList(1));
    for (int i = 0; i < 30; i++) {
      double now = 100 + i * 0.1;
      balancer.onRequest(now, BalancerFixtures.request("a" + i, "k", "unsafe", 1));
      balancer.onOutcome(now + 0.05, BalancerFixtures.outcome("a" + i, 0, 1, Outcome.Result.OK));
    }
    assertEquals(0, actions.ofKind("refuse").size());
    // 10 requests per second are answered within an aim of 0.5 s: of 100 at once, few can be.
    for (int i = 0; i < 100; i++) {
      balancer.onRequest(103.1, BalancerFixtures.request("b" + i, "k", "unsafe", 1));
    }
    int refused = actions.ofKind("refuse").size();
    assertTrue(refused > 85 && refused < 100, refused + " refused");
  }

  @Test
  void aMinimumRateOfFetchesIsAlwaysAdmitted() {
    OriginGuard guard = new OriginGuard();
    double now = failFetches(guard);
    guard.recordStart(now, 99, pendingRequest(99, "out"), false);
    assertTrue(guard.isFull(now + 0.01));
    guard.minFetchRate = 20;
    for (int i = 0; i < 10; i++) {
      PendingRequest good = pendingRequest(2L * i, "good" + i);
      guard.recordStart(now, 200 + i, good, true);
      guard.recordEnd(now, good, true, false, true);
    }
    assertFalse(guard.isFull(now + 0.2));
  }

  /** Returns settings with a price of crossing zones. */
  private static Settings withCrossingPrice(double crossing) {
    return new Settings(
        "a",
        SETTINGS.zones(),
        SETTINGS.kinds(),
        0,
        4,
        false,
        SETTINGS.weights(),
        SETTINGS.cache(),
        SETTINGS.limits(),
        SETTINGS.contract(),
        new Settings.Prices(crossing, 0, 0, 0, 0, 0, 0, 0, 0),
        SETTINGS.services(),
        List.of(),
        1,
        0.005,
        Settings.Spread.DEFAULT);
  }

  @Test
  void refusalsAdviseARetryTimeIfTheSettingsAllowIt() {
    for (boolean advises : new boolean[] {true, false}) {
      Settings.Limits limits =
          new Settings.Limits(4, true, true, false, false, advises, 0.6, 0.1, 60, 32, 20000);
      BalancerFixtures.Recorder recorder = new BalancerFixtures.Recorder();
      Balancer balancerWithoutServers =
          new Balancer(BalancerFixtures.settings(false, limits), 1, recorder);
      for (int i = 0; i < 50; i++) {
        balancerWithoutServers.onRequest(100, BalancerFixtures.request("r" + i, "k", "safe", 1));
      }
      List<Double> advice =
          recorder.ofKind("refuse").stream()
              .map(BalancerFixtures.Action::value)
              .distinct()
              .toList();
      assertEquals(50, recorder.ofKind("refuse").size());
      if (advises) {
        assertTrue(advice.size() > 10, "spread out");
        assertTrue(advice.stream().allMatch(after -> after >= 0.25 && after <= 0.6));
      } else {
        assertEquals(List.of(0.0), advice);
      }
    }
  }

  @Test
  void aHigherCrossingPriceKeepsMoreKeysInTheZone() {
    long[] crossed = new long[2];
    for (int i = 0; i < 2; i++) {
      BalancerFixtures.Recorder recorder = new BalancerFixtures.Recorder();
      Balancer balancerWithPrice =
          new Balancer(withCrossingPrice(i == 0 ? 0.1 : 0.01), 1, recorder);
      balancerWithPrice.onMembershipUpdate(100, BalancerFixtures.cachedList(10));
      for (int turn = 0; turn < 60; turn++) {
        String id = "r" + turn;
        double now = 100 + turn;
        balancerWithPrice.onRequest(now, BalancerFixtures.request(id, "key" + turn / 2, "safe", 1));
        BalancerFixtures.Action sent = recorder.ofKind("send").get(turn);
        balancerWithPrice.onOutcome(
            now + 0.1,
            BalancerFixtures.outcome(sent.requestId(), 0, sent.number(), Outcome.Result.OK));
        // Only the second request for a key counts: the first one gives no estimate yet.
        crossed[i] += turn % 2 == 1 && sent.number() % 2 == 1 ? 1 : 0;
      }
    }
    assertTrue(
        crossed[0] <= 2 && crossed[1] >= 8,
        crossed[0] + " at the high price, " + crossed[1] + " at the low price");
  }

  @Test
  void aSampleAfterALongPauseHasMoreWeight() {
    ServerHealth frequent = server(1);
    ServerHealth rare = server(2);
    frequent.addSample(100.01, 3, 1);
    rare.addSample(102, 3, 1);
    assertTrue(rare.keyShare(102) < frequent.keyShare(100.01) - 0.2);
  }

  private static Outcome fetchOutcome(
      BalancerFixtures.Action sent, Outcome.Result result, double elapsed, double utilization) {
    return new Outcome(
        sent.requestId(),
        0,
        sent.number(),
        result,
        elapsed,
        result == Outcome.Result.OK,
        result == Outcome.Result.OK ? Outcome.Note.MISS : Outcome.Note.NONE,
        new LoadReport(-1, -1, utilization, -1, -1, -1, -1, -1));
  }

  @Test
  void fetchesLaterThanTheirAimShrinkTheWindow() {
    for (double elapsed : new double[] {0.4, 0.6}) {
      BalancerFixtures.Recorder recorder = new BalancerFixtures.Recorder();
      Balancer singleServerBalancer = new Balancer(SETTINGS, 1, recorder);
      singleServerBalancer.onMembershipUpdate(100, BalancerFixtures.cachedList(1));
      for (int i = 0; i < 40; i++) {
        singleServerBalancer.onRequest(
            100 + i * 0.7, BalancerFixtures.request("f" + i, "fresh" + i, "safe", 1));
        BalancerFixtures.Action sent = recorder.ofKind("send").get(i);
        singleServerBalancer.onOutcome(
            100 + i * 0.7 + elapsed, fetchOutcome(sent, Outcome.Result.OK, elapsed, 0.1));
      }
      for (int i = 0; i < 3; i++) {
        singleServerBalancer.onRequest(
            128, BalancerFixtures.request("b" + i, "burst" + i, "safe", 1));
      }
      assertEquals(elapsed > 0.5 ? 1 : 3, recorder.ofKind("send").size() - 40, "after " + elapsed);
    }
  }

  @Test
  void noRetriesWhileFetchesFail() {
    balancer.onMembershipUpdate(100, BalancerFixtures.cachedList(10));
    int early = 0;
    for (int i = 0; i < 40; i++) {
      // Retries only stop once fetches have failed at most servers.
      early = i == 20 ? actions.ofKind("send").size() : early;
      balancer.onRequest(100 + i * 0.3, BalancerFixtures.request("f" + i, "fresh" + i, "safe", 1));
      int sends;
      int attempt = 0;
      do {
        sends = actions.ofKind("send").size();
        BalancerFixtures.Action last = actions.ofKind("send").get(sends - 1);
        balancer.onOutcome(
            100 + i * 0.3,
            BalancerFixtures.outcome(
                last.requestId(), attempt++, last.number(), Outcome.Result.ERROR));
      } while (actions.ofKind("send").size() > sends);
    }
    assertTrue(early < 30, "retry tokens were left: " + early);
    assertEquals(20, actions.ofKind("send").size() - early);
  }

  @Test
  void loadReportsOfFetchesCountTowardsSaturation() {
    balancer.onMembershipUpdate(100, BalancerFixtures.cachedList(3));
    TreeMap<Long, Integer> laterSends = new TreeMap<>();
    for (int i = 0; i < 900; i++) {
      double now = 100 + i * 0.02;
      balancer.onRequest(now, BalancerFixtures.request("f" + i, "fresh" + i, "safe", 1));
      BalancerFixtures.Action sent = actions.ofKind("send").get(i);
      balancer.onOutcome(
          now, fetchOutcome(sent, Outcome.Result.OK, 0.01, sent.number() == 1 ? 1 : 0.2));
      if (i > 450) {
        laterSends.merge(sent.number(), 1, Integer::sum);
      }
    }
    assertTrue(
        laterSends.get(1L) * 3 < laterSends.get(2L) + laterSends.get(3L), "sends: " + laterSends);
  }

  @Test
  void writesStayInTheZoneIfCrossingHasAPrice() {
    Balancer balancerWithPrice = new Balancer(withCrossingPrice(0.1), 1, actions);
    balancerWithPrice.onMembershipUpdate(100, BalancerFixtures.cachedList(10));
    for (int i = 0; i < 10; i++) {
      balancerWithPrice.onRequest(100, BalancerFixtures.request("w" + i, "k" + i, "unsafe", 1));
    }
    Map<Boolean, Integer> inZone = new TreeMap<>();
    for (BalancerFixtures.Action action : actions.ofKind("send")) {
      inZone.merge(action.number() % 2 == 0, 1, Integer::sum);
    }
    assertTrue(inZone.get(true) >= 9, "in the own zone: " + inZone);
  }

  @Test
  void aRequestOfAnUnknownClassIsNotSent() {
    balancer.onMembershipUpdate(100, BalancerFixtures.cachedList(3));
    balancer.onRequest(100, BalancerFixtures.request("x", "k", "nobody", 1));
    assertEquals(0, actions.ofKind("send").size());
    assertEquals(1, actions.ofKind("fail").size());
  }

  @Test
  void oldKeysAndResumedRequestsAreRemoved() {
    OriginGuard guard = new OriginGuard();
    for (int second = 0; second < 1000; second++) {
      for (int i = 0; i < 5; i++) {
        guard.recordAnswer(second, 5L * second + i, Outcome.Note.HIT);
      }
    }
    assertTrue(guard.answeredAt.size() <= 5 * 61, guard.answeredAt.size() + " keys");
    Settings.ServiceClass type = BalancerFixtures.settings(false, 6, true).services().get(0);
    for (int i = 0; i < 100; i++) {
      PendingRequest pending =
          new PendingRequest(BalancerFixtures.request("p" + i, "k", "safe", 1), type, i, i, 0);
      pending.held = i % 2 == 0;
      guard.park(pending);
    }
    assertTrue(guard.parked.size() <= 51, guard.parked.size() + " parked");
  }

  @Test
  void invalidWeightsAndReportsDontPreventSending() {
    balancer.onMembershipUpdate(
        100,
        BalancerFixtures.update(
            MembershipUpdate.Kind.FULL,
            List.of(
                new ServerEntry(1, "", "", -1, ServerEntry.State.READY, -5, -1),
                new ServerEntry(2, "a", "box", 0, ServerEntry.State.READY, Double.NaN, 1e300))));
    for (int i = 0; i < 60; i++) {
      Request request =
          new Request("n" + i, i % 2 == 0 ? null : "k", "safe", null, 1, -1, -1, true, false);
      balancer.onRequest(100 + i, request);
      BalancerFixtures.Action last = actions.recorded.get(actions.recorded.size() - 1);
      assertEquals("send", last.kind());
      double invalid = i % 3 == 0 ? Double.NaN : i % 3 == 1 ? -7 : 1e18;
      balancer.onOutcome(
          100 + i,
          new Outcome(
              "n" + i,
              0,
              last.number(),
              Outcome.Result.OK,
              0.1,
              true,
              Outcome.Note.HIT,
              new LoadReport(
                  invalid, invalid, invalid, invalid, invalid, invalid, invalid, invalid)));
    }
  }

  @Test
  void aHungServerIsAtFaultForItsTimeouts() {
    Balancer single = new Balancer(BalancerFixtures.settings(false, 1, true), 1, actions);
    single.onMembershipUpdate(100, BalancerFixtures.cachedList(2));
    TreeMap<Long, Integer> laterSends = new TreeMap<>();
    for (int i = 0; i < 600; i++) {
      double now = 100 + i * 0.02;
      String id = "q" + i;
      single.onRequest(now, BalancerFixtures.request(id, "fresh" + i, "safe", 1));
      BalancerFixtures.Action last = actions.recorded.get(actions.recorded.size() - 1);
      if (last.kind().equals("send")) {
        // Server 1 hangs on one request in eight: too few failures to blame the origin.
        boolean hangs = last.number() == 1 && i % 8 == 0;
        single.onOutcome(
            now,
            BalancerFixtures.outcome(
                id, 0, last.number(), hangs ? Outcome.Result.TIMEOUT : Outcome.Result.OK));
        if (i > 200) {
          laterSends.merge(last.number(), 1, Integer::sum);
        }
      }
    }
    assertTrue(laterSends.get(1L) < laterSends.get(2L), "sends by server: " + laterSends);
  }

  @Test
  void attemptsOfDisconnectedClientsAreCancelledWithoutAnAnswer() {
    balancer.onMembershipUpdate(100, BalancerFixtures.cachedList(3));
    balancer.onRequest(100, BalancerFixtures.request("gone", "k", "safe", 1));
    balancer.onClientGone(100.1, "gone");
    assertEquals(1, actions.ofKind("cancel").size());
    long token = actions.ofKind("wake").get(0).number();
    balancer.onTimer(101, token);
    assertTrue(actions.ofKind("fail").isEmpty() && actions.ofKind("refuse").isEmpty());
  }
}
