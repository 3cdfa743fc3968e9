package beamspread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.model.MembershipUpdate;
import beamspread.model.Outcome;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the four rules under seeded random events in unusual but legal orders. */
class BalancerRulesTest {
  private static final String[] CLASSES = {"safe", "all", "zone", "cell", "unsafe"};

  private static void applyMembership(
      RuleChecker checker,
      Balancer balancer,
      MembershipUpdate.Kind kind,
      List<ServerEntry> entries) {
    for (ServerEntry entry : entries) {
      checker.servers.put(entry.id(), entry);
    }
    balancer.onMembershipUpdate(checker.now, BalancerFixtures.update(kind, entries));
  }

  private static String run(long seed, boolean parallel, boolean stalls, List<String> violations) {
    Random random = new Random(seed);
    Settings settings =
        BalancerFixtures.settings(random.nextBoolean(), 2 + random.nextInt(4), parallel);
    RuleChecker checker = new RuleChecker(settings);
    checker.now = 100;
    Balancer balancer = new Balancer(settings, seed, checker);
    List<ServerEntry> first = new ArrayList<>();
    for (long id = 1; id <= random.nextInt(8); id++) {
      first.add(BalancerFixtures.server(id));
    }
    applyMembership(checker, balancer, MembershipUpdate.Kind.CACHED, first);
    TreeMap<Double, List<Long>> timers = new TreeMap<>();
    int processed = 0;
    for (int step = 0; step < 4000; step++) {
      checker.now += random.nextInt(3) * 0.005;
      while (!timers.isEmpty() && timers.firstKey() <= checker.now) {
        for (long token : timers.pollFirstEntry().getValue()) {
          balancer.onTimer(checker.now, token);
        }
      }
      int event = step > 3000 ? 9 : random.nextInt(10);
      if (event < 4) {
        String type = CLASSES[random.nextInt(CLASSES.length)];
        String key = random.nextInt(9) == 0 ? null : "k" + random.nextInt(40);
        var request = BalancerFixtures.request("r" + step, key, type, 0.05 + random.nextDouble());
        checker.recordArrival(request);
        balancer.onRequest(checker.now, request);
      } else if (event == 4 && random.nextInt(8) == 0) {
        long id = 1 + random.nextInt(12);
        ServerEntry.State state = ServerEntry.State.values()[random.nextInt(3)];
        double started = random.nextInt(3) == 0 ? checker.now - random.nextDouble() : 0;
        applyMembership(
            checker,
            balancer,
            MembershipUpdate.Kind.CHANGES,
            List.of(BalancerFixtures.server(id, state, started)));
      } else if (event == 5 && random.nextInt(20) == 0) {
        balancer.onMembershipUpdate(
            checker.now, BalancerFixtures.update(MembershipUpdate.Kind.FAILED, List.of()));
      } else {
        if (stalls) {
          stallReplies(checker, balancer, random);
        }
        endAttemptsAndClients(checker, balancer, random);
      }
      for (; processed < checker.recorded.size(); processed++) {
        BalancerFixtures.Action action = checker.recorded.get(processed);
        if (action.kind().equals("wake")) {
          timers
              .computeIfAbsent(
                  checker.now + Math.max(1e-6, action.value()), tracked -> new ArrayList<>())
              .add(action.number());
        }
      }
      checker.checkDeadlines();
    }
    violations.addAll(checker.violations);
    return checker.recorded.toString();
  }

  /** Reports at random that replies have begun and make no progress. */
  private static void stallReplies(RuleChecker checker, Balancer balancer, Random random) {
    for (RuleChecker.TrackedRequest tracked : new ArrayList<>(checker.requests.values())) {
      for (int i = 0; i < tracked.attempts.size(); i++) {
        if (tracked.attempts.get(i).inFlight && random.nextInt(3) == 0) {
          balancer.onReplyStalled(checker.now, tracked.request.id(), i, random.nextDouble());
        }
      }
    }
    for (RuleChecker.GivenUp givenUp : checker.takeGivenUp()) {
      RuleChecker.Attempt attempt = checker.recordEnd(givenUp, Outcome.Result.TIMEOUT);
      balancer.onOutcome(
          checker.now,
          new Outcome(
              givenUp.requestId(),
              givenUp.attempt(),
              attempt.server,
              Outcome.Result.TIMEOUT,
              checker.now - attempt.sentAt,
              checker.requests.get(givenUp.requestId()).ended,
              Outcome.Note.NONE,
              null));
    }
  }

  /** Ends some attempts and disconnects some clients at random. */
  private static void endAttemptsAndClients(RuleChecker checker, Balancer balancer, Random random) {
    for (RuleChecker.TrackedRequest tracked : new ArrayList<>(checker.requests.values())) {
      for (int i = 0; i < tracked.attempts.size(); i++) {
        RuleChecker.Attempt a = tracked.attempts.get(i);
        boolean due = checker.now >= tracked.deadline;
        if (a.inFlight && (due || random.nextInt(6) == 0)) {
          var results = Outcome.Result.values();
          var result = due ? Outcome.Result.TIMEOUT : results[random.nextInt(results.length - 1)];
          boolean endedBefore = tracked.ended;
          checker.recordEnd(tracked.request.id(), i, result);
          balancer.onOutcome(
              checker.now,
              new Outcome(
                  tracked.request.id(),
                  i,
                  a.server,
                  result,
                  checker.now - a.sentAt,
                  endedBefore || result == Outcome.Result.OK,
                  random.nextBoolean() ? Outcome.Note.HIT : Outcome.Note.MISS,
                  null));
        }
      }
      if (!tracked.ended && random.nextInt(300) == 0) {
        checker.recordClientGone(tracked.request.id());
        balancer.onClientGone(checker.now, tracked.request.id());
      }
    }
    checker
        .requests
        .values()
        .removeIf(tracked -> tracked.ended && tracked.attempts.stream().noneMatch(a -> a.inFlight));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void rulesHoldUnderRandomEvents(long seed) {
    List<String> violations = new ArrayList<>();
    run(seed, seed % 2 == 0, false, violations);
    run(seed, seed % 2 == 0, true, violations);
    assertEquals(List.of(), violations);
  }

  @Test
  void equalEventsGiveEqualActions() {
    for (boolean stalls : new boolean[] {false, true}) {
      assertEquals(
          run(5, true, stalls, new ArrayList<>()), run(5, true, stalls, new ArrayList<>()));
    }
  }

  @Test
  void aColdServerGetsNoMoreThanItsBudget() {
    Settings settings = BalancerFixtures.settings(false, 4, true);
    RuleChecker checker = new RuleChecker(settings);
    Balancer balancer = new Balancer(settings, 1, checker);
    checker.now = 100;
    List<ServerEntry> fleet = new ArrayList<>();
    for (long id = 1; id <= 8; id++) {
      fleet.add(BalancerFixtures.server(id));
    }
    applyMembership(checker, balancer, MembershipUpdate.Kind.CACHED, fleet);
    Random random = new Random(4);
    checker.warmRate = 200.0 / 8;
    int coldSends = 0;
    // The cold server answers no faster than its capacity by contract.
    double coldFreeAt = 0;
    for (int i = 0; i < 6000; i++) {
      checker.now += 0.005;
      if (i == 2000) {
        applyMembership(
            checker,
            balancer,
            MembershipUpdate.Kind.CHANGES,
            List.of(BalancerFixtures.server(3, ServerEntry.State.READY, checker.now)));
      }
      var request = BalancerFixtures.request("r" + i, "k" + random.nextInt(500), "safe", 1);
      checker.recordArrival(request);
      balancer.onRequest(checker.now, request);
      for (RuleChecker.TrackedRequest tracked : new ArrayList<>(checker.requests.values())) {
        for (int a = 0; a < tracked.attempts.size(); a++) {
          if (tracked.attempts.get(a).inFlight) {
            long server = tracked.attempts.get(a).server;
            double age = checker.now - (100 + 2000 * 0.005);
            if (server == 3 && age > 0 && age < settings.contract().warmWithin()) {
              if (coldFreeAt > checker.now) {
                continue;
              }
              double coldCapacity = settings.contract().coldFrom();
              double warmth =
                  coldCapacity + (1 - coldCapacity) * age / settings.contract().warmWithin();
              coldFreeAt =
                  Math.max(coldFreeAt, checker.now - 0.005) + 1 / (warmth * checker.warmRate);
            }
            coldSends += i > 2000 && i < 4000 && server == 3 ? 1 : 0;
            checker.recordEnd(tracked.request.id(), a, Outcome.Result.OK);
            balancer.onOutcome(
                checker.now,
                BalancerFixtures.outcome(tracked.request.id(), a, server, Outcome.Result.OK));
          }
        }
      }
      checker.requests.values().removeIf(tracked -> tracked.ended);
    }
    assertEquals(List.of(), checker.violations);
    assertTrue(coldSends > 20, "requests to the cold server: " + coldSends);
  }

  private static RuleChecker checkerWithServers() {
    RuleChecker checker = new RuleChecker(BalancerFixtures.settings(false, 3, false));
    checker.now = 100;
    checker.servers.put(1L, BalancerFixtures.server(1));
    checker.servers.put(2L, BalancerFixtures.server(2, ServerEntry.State.DRAINING, 0));
    checker.servers.put(3L, BalancerFixtures.server(3, ServerEntry.State.READY, 99.9));
    return checker;
  }

  @Test
  void checkerDetectsALostRequestAndASecondAnswer() {
    RuleChecker checker = checkerWithServers();
    checker.recordArrival(BalancerFixtures.request("x", "k", "safe", 1));
    checker.now += 2;
    checker.checkDeadlines();
    checker.fail("x");
    assertEquals(2, checker.violations.size());
    assertTrue(checker.violations.stream().allMatch(b -> b.startsWith("rule 1")));
  }

  @Test
  void checkerDetectsARepeatedEffect() {
    RuleChecker checker = checkerWithServers();
    checker.recordArrival(BalancerFixtures.request("x", "k", "unsafe", 1));
    checker.send("x", 1, 0);
    checker.recordEnd("x", 0, Outcome.Result.TIMEOUT);
    checker.send("x", 1, 0);
    checker.refuse("x", 0);
    assertEquals(
        List.of("rule 2: unsafe request sent again", "rule 2: refused what may have run"),
        checker.violations);
  }

  @Test
  void checkerDetectsASendToADrainingServer() {
    RuleChecker checker = checkerWithServers();
    checker.recordArrival(BalancerFixtures.request("x", "k", "safe", 1));
    checker.send("x", 2, 0);
    assertEquals(List.of("rule 3: sent to a server that is not ready"), checker.violations);
  }

  @Test
  void checkerDetectsAnOverloadedColdServer() {
    RuleChecker checker = checkerWithServers();
    checker.warmRate = 10;
    for (int i = 0; i < 20; i++) {
      checker.recordArrival(BalancerFixtures.request("x" + i, "k", "safe", 1));
      checker.send("x" + i, 3, 0);
    }
    assertTrue(checker.violations.contains("rule 4: cold server overloaded"));
  }
}
