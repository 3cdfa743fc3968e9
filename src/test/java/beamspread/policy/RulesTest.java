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

/** The four rules under seeded events in odd but legal orders. */
class RulesTest {
  private static final String[] TYPES = {"safe", "all", "zone", "cell", "unsafe"};

  private static void membership(
      RuleChecker world, Balancer balancer, MembershipUpdate.Kind kind, List<ServerEntry> lines) {
    for (ServerEntry line : lines) {
      world.servers.put(line.id(), line);
    }
    balancer.membership(world.now, Rig.list(kind, lines));
  }

  private static String play(long seed, boolean parallel, List<String> breaches) {
    Random random = new Random(seed);
    Settings settings = Rig.settings(random.nextBoolean(), 2 + random.nextInt(4), parallel);
    RuleChecker world = new RuleChecker(settings);
    world.now = 100;
    Balancer balancer = new Balancer(settings, seed, world);
    List<ServerEntry> first = new ArrayList<>();
    for (long id = 1; id <= random.nextInt(8); id++) {
      first.add(Rig.server(id));
    }
    membership(world, balancer, MembershipUpdate.Kind.REMEMBERED, first);
    TreeMap<Double, List<Long>> timers = new TreeMap<>();
    int seen = 0;
    for (int step = 0; step < 4000; step++) {
      world.now += random.nextInt(3) * 0.005;
      while (!timers.isEmpty() && timers.firstKey() <= world.now) {
        for (long token : timers.pollFirstEntry().getValue()) {
          balancer.timer(world.now, token);
        }
      }
      int what = step > 3000 ? 9 : random.nextInt(10);
      if (what < 4) {
        String type = TYPES[random.nextInt(TYPES.length)];
        String key = random.nextInt(9) == 0 ? null : "k" + random.nextInt(40);
        var request = Rig.request("r" + step, key, type, 0.05 + random.nextDouble());
        world.arrives(request);
        balancer.request(world.now, request);
      } else if (what == 4 && random.nextInt(8) == 0) {
        long id = 1 + random.nextInt(12);
        ServerEntry.State state = ServerEntry.State.values()[random.nextInt(3)];
        double started = random.nextInt(3) == 0 ? world.now - random.nextDouble() : 0;
        membership(
            world,
            balancer,
            MembershipUpdate.Kind.CHANGES,
            List.of(Rig.server(id, state, started)));
      } else if (what == 5 && random.nextInt(20) == 0) {
        balancer.membership(world.now, Rig.list(MembershipUpdate.Kind.FAILED, List.of()));
      } else {
        step(world, balancer, random);
      }
      for (; seen < world.acts.size(); seen++) {
        Rig.Act act = world.acts.get(seen);
        if (act.what().equals("wake")) {
          timers
              .computeIfAbsent(world.now + Math.max(1e-6, act.value()), t -> new ArrayList<>())
              .add(act.number());
        }
      }
      world.checkDeadlines();
    }
    breaches.addAll(world.breaches);
    return world.acts.toString();
  }

  /** Ends an attempt, or lets a client go. */
  private static void step(RuleChecker world, Balancer balancer, Random random) {
    for (RuleChecker.Tracked t : new ArrayList<>(world.requests.values())) {
      for (int i = 0; i < t.attempts.size(); i++) {
        RuleChecker.Attempt a = t.attempts.get(i);
        boolean due = world.now >= t.deadline;
        if (a.out && (due || random.nextInt(6) == 0)) {
          var results = Outcome.Result.values();
          var result = due ? Outcome.Result.TIMEOUT : results[random.nextInt(results.length - 1)];
          boolean over = t.over;
          world.ends(t.request.id(), i, result);
          balancer.outcome(
              world.now,
              new Outcome(
                  t.request.id(),
                  i,
                  a.server,
                  result,
                  world.now - a.sentAt,
                  over || result == Outcome.Result.OK,
                  random.nextBoolean() ? Outcome.Note.HIT : Outcome.Note.MISS,
                  null));
        }
      }
      if (!t.over && random.nextInt(300) == 0) {
        world.gone(t.request.id());
        balancer.clientGone(world.now, t.request.id());
      }
    }
    world.requests.values().removeIf(t -> t.over && t.attempts.stream().noneMatch(a -> a.out));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void areKeptUnderRandomEvents(long seed) {
    List<String> breaches = new ArrayList<>();
    play(seed, seed % 2 == 0, breaches);
    assertEquals(List.of(), breaches);
  }

  @Test
  void sameEventsGiveTheSameActions() {
    assertEquals(play(5, true, new ArrayList<>()), play(5, true, new ArrayList<>()));
  }

  @Test
  void coldServerGetsNoMoreThanItsBudget() {
    Settings settings = Rig.settings(false, 4, true);
    RuleChecker world = new RuleChecker(settings);
    Balancer balancer = new Balancer(settings, 1, world);
    world.now = 100;
    List<ServerEntry> fleet = new ArrayList<>();
    for (long id = 1; id <= 8; id++) {
      fleet.add(Rig.server(id));
    }
    membership(world, balancer, MembershipUpdate.Kind.REMEMBERED, fleet);
    Random random = new Random(4);
    world.warmRate = 200.0 / 8;
    int coldSends = 0;
    // The cold one works off what it gets no faster than it can by contract.
    double coldFreeAt = 0;
    for (int i = 0; i < 6000; i++) {
      world.now += 0.005;
      if (i == 2000) {
        membership(
            world,
            balancer,
            MembershipUpdate.Kind.CHANGES,
            List.of(Rig.server(3, ServerEntry.State.READY, world.now)));
      }
      var request = Rig.request("r" + i, "k" + random.nextInt(500), "safe", 1);
      world.arrives(request);
      balancer.request(world.now, request);
      for (RuleChecker.Tracked t : new ArrayList<>(world.requests.values())) {
        for (int a = 0; a < t.attempts.size(); a++) {
          if (t.attempts.get(a).out) {
            long server = t.attempts.get(a).server;
            double age = world.now - (100 + 2000 * 0.005);
            if (server == 3 && age > 0 && age < settings.contract().warmWithin()) {
              if (coldFreeAt > world.now) {
                continue;
              }
              double from = settings.contract().coldFrom();
              double warmth = from + (1 - from) * age / settings.contract().warmWithin();
              coldFreeAt = Math.max(coldFreeAt, world.now - 0.005) + 1 / (warmth * world.warmRate);
            }
            coldSends += i > 2000 && i < 4000 && server == 3 ? 1 : 0;
            world.ends(t.request.id(), a, Outcome.Result.OK);
            balancer.outcome(world.now, Rig.outcome(t.request.id(), a, server, Outcome.Result.OK));
          }
        }
      }
      world.requests.values().removeIf(t -> t.over);
    }
    assertEquals(List.of(), world.breaches);
    assertTrue(coldSends > 20, "a cold server is warmed by some of its keys: " + coldSends);
  }

  private static RuleChecker planted() {
    RuleChecker world = new RuleChecker(Rig.settings(false, 3, false));
    world.now = 100;
    world.servers.put(1L, Rig.server(1));
    world.servers.put(2L, Rig.server(2, ServerEntry.State.DRAINING, 0));
    world.servers.put(3L, Rig.server(3, ServerEntry.State.READY, 99.9));
    return world;
  }

  @Test
  void checkerCatchesALostRequestAndASecondAnswer() {
    RuleChecker world = planted();
    world.arrives(Rig.request("x", "k", "safe", 1));
    world.now += 2;
    world.checkDeadlines();
    world.fail("x");
    assertEquals(2, world.breaches.size());
    assertTrue(world.breaches.stream().allMatch(b -> b.startsWith("rule 1")));
  }

  @Test
  void checkerCatchesADoubledEffect() {
    RuleChecker world = planted();
    world.arrives(Rig.request("x", "k", "unsafe", 1));
    world.send("x", 1, 0);
    world.ends("x", 0, Outcome.Result.TIMEOUT);
    world.send("x", 1, 0);
    world.refuse("x", 0);
    assertEquals(
        List.of("rule 2: unsafe request sent again", "rule 2: refused what may have run"),
        world.breaches);
  }

  @Test
  void checkerCatchesASendToADrainingServer() {
    RuleChecker world = planted();
    world.arrives(Rig.request("x", "k", "safe", 1));
    world.send("x", 2, 0);
    assertEquals(List.of("rule 3: sent to a server that is not ready"), world.breaches);
  }

  @Test
  void checkerCatchesAColdServerPushedOver() {
    RuleChecker world = planted();
    world.warmRate = 10;
    for (int i = 0; i < 20; i++) {
      world.arrives(Rig.request("x" + i, "k", "safe", 1));
      world.send("x" + i, 3, 0);
    }
    assertTrue(world.breaches.contains("rule 4: cold server pushed over"));
  }
}
