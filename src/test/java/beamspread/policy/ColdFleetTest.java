package beamspread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.model.Outcome;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Rule 4 for the fleet: what all balancers together send to a cold server, which none of them hears
 * of, stays within N + 2√N + 2 in every window, and the server is not starved for it.
 */
class ColdFleetTest {
  private static final int[] FLEETS = {1, 2, 14, 20, 30, 100, 490};
  private static final double ANSWERED_AFTER = 0.01;

  /** One course: who sees which part of the load, and when the server started. */
  private static final class World {
    final Settings settings;
    final SplittableRandom random;
    final double warmRate;
    final double[] parts;
    final ServerHealth[] views;
    final double[] knownFrom;
    final List<Double> sends = new ArrayList<>();
    private final ArrayDeque<Double> answersAt = new ArrayDeque<>();
    private final ArrayDeque<Integer> answersTo = new ArrayDeque<>();
    double now;
    int asked;

    World(int balancers, double warmRate, double[] parts, long seed) {
      this.settings = Rig.settings(balancers, Settings.Spread.USUAL);
      this.random = new SplittableRandom(seed);
      this.warmRate = warmRate;
      this.parts = parts;
      this.views = new ServerHealth[balancers];
      this.knownFrom = new double[balancers];
      for (int i = 0; i < balancers; i++) {
        starts(i);
      }
    }

    /** A process of this balancer begins, and knows nothing but the list. */
    void starts(int i) {
      views[i] =
          new ServerHealth(
              Rig.server(7, ServerEntry.State.READY, 1e-9), now, Rig.numbered(settings, i));
      // Sooner than a real one, which has to serve for a second first.
      knownFrom[i] = now;
    }

    /** Plays so many seconds in which requests for the server's keys come at a rate. */
    void play(double seconds, double rate) {
      double until = now + seconds;
      while (true) {
        now -= Math.log(1 - random.nextDouble()) / rate;
        if (now >= until) {
          now = until;
          return;
        }
        request(drawn());
      }
    }

    private int drawn() {
      double at = random.nextDouble();
      int i = 0;
      for (; i < parts.length - 1 && at >= parts[i]; i++) {
        at -= parts[i];
      }
      return i;
    }

    /** A request for one of its keys at a balancer. */
    void request(int i) {
      while (!answersAt.isEmpty() && answersAt.peek() <= now) {
        double at = answersAt.poll();
        int to = answersTo.poll();
        views[to].ended(at, Rig.outcome("r", 0, 7, Outcome.Result.OK), 60, false);
        views[to].strained(at, 0.1, 1);
      }
      asked++;
      if (views[i].coldRoom(now, warmRate * parts[i])) {
        views[i].sent();
        sends.add(now);
        answersAt.add(now + ANSWERED_AFTER);
        answersTo.add(i);
      }
    }

    /** What the contract allows in a window that begins then. */
    double allowed(double at) {
      Settings.Contract contract = settings.contract();
      double all =
          contract.overloadFactor() * contract.warmth(at) * warmRate * contract.overloadFor();
      return all + 2 * Math.sqrt(all) + 2;
    }

    /** The fullest window, as a part of what is allowed. */
    double worst() {
      double worst = 0;
      int from = 0;
      for (int to = 0; to < sends.size(); to++) {
        while (sends.get(to) - sends.get(from) > settings.contract().overloadFor()) {
          from++;
        }
        worst = Math.max(worst, (to - from + 1) / allowed(sends.get(from)));
      }
      return worst;
    }
  }

  private static double[] even(int balancers) {
    double[] parts = new double[balancers];
    Arrays.fill(parts, 1.0 / balancers);
    return parts;
  }

  /** A load that most balancers see nothing of. */
  private static double[] few(int balancers, SplittableRandom random) {
    double[] parts = new double[balancers];
    int some = Math.max(1, balancers / 10);
    for (int n = 0; n < some; n++) {
      parts[random.nextInt(balancers)] += 1.0 / some;
    }
    return parts;
  }

  /** A load of which each balancer sees its own part, some several times the mean. */
  private static double[] uneven(int balancers, SplittableRandom random) {
    double[] parts = new double[balancers];
    double all = 0;
    for (int i = 0; i < balancers; i++) {
      parts[i] = Math.pow(random.nextDouble(), 3) + 0.01;
      all += parts[i];
    }
    for (int i = 0; i < balancers; i++) {
      parts[i] /= all;
    }
    return parts;
  }

  /** W, from the calls that the contract allows a server that has just started. */
  private static double warmRate(double n) {
    Settings.Contract contract = Rig.settings(false, 4, true).contract();
    return n / (contract.overloadFactor() * contract.overloadFor() * contract.warmth(0));
  }

  private static World drawn(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int balancers = FLEETS[random.nextInt(FLEETS.length)];
    double n = Math.exp(random.nextDouble() * Math.log(500));
    double[] parts =
        switch (random.nextInt(3)) {
          case 0 -> even(balancers);
          case 1 -> few(balancers, random);
          default -> uneven(balancers, random);
        };
    World world = new World(balancers, warmRate(n), parts, seed);
    int course = random.nextInt(4);
    double rate = world.warmRate;
    world.play(1 + random.nextDouble(), rate);
    if (course == 1) {
      // Ten times as much for a second.
      world.play(1, 10 * rate);
    } else if (course == 2) {
      // Nothing, so that all have saved up what they may, and then one request at each at once.
      world.now += 1.5;
      for (int i = 0; i < balancers; i++) {
        world.request(i);
      }
    } else if (course == 3) {
      // Seven in ten processes start anew, and half of these once more.
      for (int times = 0; times < 2; times++) {
        for (int i = 0; i < balancers; i++) {
          if (random.nextDouble() < (times == 0 ? 0.7 : 0.35)) {
            world.starts(i);
          }
        }
        world.play(0.3, 3 * rate);
      }
    }
    world.play(3, rate);
    return world;
  }

  @Test
  void allTogetherStayWithinWhatAColdServerBears() {
    int seeds = 3000;
    double worst = 0;
    List<Long> broken = new ArrayList<>();
    for (long seed = 1; seed <= seeds; seed++) {
      double part = drawn(seed).worst();
      worst = Math.max(worst, part);
      if (part > 1) {
        broken.add(seed);
      }
    }
    assertEquals(List.of(), broken, "seeds, of " + seeds + "; the worst took " + worst);
  }

  /** A ramp that starves cold servers would keep the bound as well. */
  @Test
  void aColdServerIsWarmedWhereBalancersHaveWorkForIt() {
    for (int balancers : FLEETS) {
      for (double n : new double[] {4, 12, 50, 200, 500}) {
        if (n < balancers / 2.0) {
          continue;
        }
        double sends = 0;
        double early = 0;
        double fair = 0;
        for (long seed = 1; seed <= 20; seed++) {
          World world = new World(balancers, warmRate(n), even(balancers), seed);
          world.play(2, world.warmRate);
          early += world.sends.size();
          world.play(8, world.warmRate);
          sends += world.sends.size();
          // What a server of the warm ones' rate can do by contract, over these seconds.
          fair += world.warmRate * 10 * world.settings.contract().warmth(5);
        }
        String which = balancers + " balancers, N " + n;
        assertTrue(sends > 0.9 * fair, which + ": " + sends + " of " + fair);
        assertTrue(early > 0, which + ": nothing at all in the first 2 s");
      }
    }
  }
}
