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
 * Rule 4 for the fleet: the balancers know nothing of each other's requests, yet all of them
 * together send a cold server at most N + 2√N + 2 requests in every window, without starving it.
 */
class ColdServerRampTest {
  private static final int[] FLEET_SIZES = {1, 2, 14, 20, 30, 100, 490};
  private static final double ANSWER_DELAY_SECONDS = 0.01;

  /** Simulates balancers that each see a part of the load and send to one cold server. */
  private static final class Simulation {
    final Settings settings;
    final SplittableRandom random;
    final double warmRate;
    final double[] loadParts;
    final ServerHealth[] serverViews;
    final double[] knownFrom;
    final List<Double> sends = new ArrayList<>();
    private final ArrayDeque<Double> answersAt = new ArrayDeque<>();
    private final ArrayDeque<Integer> answersTo = new ArrayDeque<>();
    double now;
    int requests;

    Simulation(int balancers, double warmRate, double[] parts, long seed) {
      this.settings = BalancerFixtures.settings(balancers, Settings.Spread.DEFAULT);
      this.random = new SplittableRandom(seed);
      this.warmRate = warmRate;
      this.loadParts = parts;
      this.serverViews = new ServerHealth[balancers];
      this.knownFrom = new double[balancers];
      for (int i = 0; i < balancers; i++) {
        restart(i);
      }
    }

    /** Restarts a balancer, which then knows only the list. */
    void restart(int i) {
      serverViews[i] =
          new ServerHealth(
              BalancerFixtures.server(7, ServerEntry.State.READY, 1e-9),
              now,
              BalancerFixtures.withInstanceNumber(settings, i));
      // Sooner than a real process, which must first serve for a second.
      knownFrom[i] = now;
    }

    /** Runs this many seconds with requests for the server's keys at a rate per second. */
    void run(double seconds, double rate) {
      double until = now + seconds;
      while (true) {
        now -= Math.log(1 - random.nextDouble()) / rate;
        if (now >= until) {
          now = until;
          return;
        }
        request(drawBalancer());
      }
    }

    private int drawBalancer() {
      double at = random.nextDouble();
      int i = 0;
      for (; i < loadParts.length - 1 && at >= loadParts[i]; i++) {
        at -= loadParts[i];
      }
      return i;
    }

    /** Handles a request for one of the server's keys at a balancer. */
    void request(int i) {
      while (!answersAt.isEmpty() && answersAt.peek() <= now) {
        double at = answersAt.poll();
        int to = answersTo.poll();
        serverViews[to].recordEnd(
            at, BalancerFixtures.outcome("r", 0, 7, Outcome.Result.OK), 60, false);
        serverViews[to].addSample(at, 0.1, 1);
      }
      requests++;
      if (serverViews[i].admitsWhileCold(now, warmRate * loadParts[i])) {
        serverViews[i].recordSent();
        sends.add(now);
        answersAt.add(now + ANSWER_DELAY_SECONDS);
        answersTo.add(i);
      }
    }

    /** Returns the requests that the contract allows in a window that begins at this time. */
    double allowedFrom(double at) {
      Settings.Contract contract = settings.contract();
      double all =
          contract.overloadFactor() * contract.warmth(at) * warmRate * contract.overloadFor();
      return all + 2 * Math.sqrt(all) + 2;
    }

    /** Returns the highest ratio, over all windows, of requests to the allowed number. */
    double worstRatio() {
      double worst = 0;
      int from = 0;
      for (int to = 0; to < sends.size(); to++) {
        while (sends.get(to) - sends.get(from) > settings.contract().overloadFor()) {
          from++;
        }
        worst = Math.max(worst, (to - from + 1) / allowedFrom(sends.get(from)));
      }
      return worst;
    }
  }

  private static double[] evenLoad(int balancers) {
    double[] parts = new double[balancers];
    Arrays.fill(parts, 1.0 / balancers);
    return parts;
  }

  /** Returns the parts of a load that only a tenth of the balancers see. */
  private static double[] concentratedLoad(int balancers, SplittableRandom random) {
    double[] parts = new double[balancers];
    int loaded = Math.max(1, balancers / 10);
    for (int n = 0; n < loaded; n++) {
      parts[random.nextInt(balancers)] += 1.0 / loaded;
    }
    return parts;
  }

  /** Returns the parts of a load that is uneven: some balancers see several times the mean. */
  private static double[] unevenLoad(int balancers, SplittableRandom random) {
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

  /** Returns the warm rate for which the contract allows n requests right after a start. */
  private static double warmRate(double n) {
    Settings.Contract contract = BalancerFixtures.settings(false, 4, true).contract();
    return n / (contract.overloadFactor() * contract.overloadFor() * contract.warmth(0));
  }

  private static Simulation runScenario(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int balancers = FLEET_SIZES[random.nextInt(FLEET_SIZES.length)];
    double n = Math.exp(random.nextDouble() * Math.log(500));
    double[] parts =
        switch (random.nextInt(3)) {
          case 0 -> evenLoad(balancers);
          case 1 -> concentratedLoad(balancers, random);
          default -> unevenLoad(balancers, random);
        };
    Simulation simulation = new Simulation(balancers, warmRate(n), parts, seed);
    int scenario = random.nextInt(4);
    double rate = simulation.warmRate;
    simulation.run(1 + random.nextDouble(), rate);
    if (scenario == 1) {
      // Ten times the load for one second.
      simulation.run(1, 10 * rate);
    } else if (scenario == 2) {
      // No load, so that all save the most tokens, and then one request at each at once.
      simulation.now += 1.5;
      for (int i = 0; i < balancers; i++) {
        simulation.request(i);
      }
    } else if (scenario == 3) {
      // 70% of the balancers restart, then 35%.
      for (int round = 0; round < 2; round++) {
        for (int i = 0; i < balancers; i++) {
          if (random.nextDouble() < (round == 0 ? 0.7 : 0.35)) {
            simulation.restart(i);
          }
        }
        simulation.run(0.3, 3 * rate);
      }
    }
    simulation.run(3, rate);
    return simulation;
  }

  @Test
  void allBalancersTogetherStayWithinTheColdServersBound() {
    int seeds = 3000;
    double worst = 0;
    List<Long> seedsOverBound = new ArrayList<>();
    for (long seed = 1; seed <= seeds; seed++) {
      double ratio = runScenario(seed).worstRatio();
      worst = Math.max(worst, ratio);
      if (ratio > 1) {
        seedsOverBound.add(seed);
      }
    }
    assertEquals(List.of(), seedsOverBound, "seeds, of " + seeds + "; worst ratio " + worst);
  }

  /** Starving the cold server would also keep the bound, so it must get most of its capacity. */
  @Test
  void aColdServerGetsItsShareOfTheLoad() {
    for (int balancers : FLEET_SIZES) {
      for (double n : new double[] {4, 12, 50, 200, 500}) {
        if (n < balancers / 2.0) {
          continue;
        }
        double sends = 0;
        double sendsInFirstSeconds = 0;
        double capacity = 0;
        for (long seed = 1; seed <= 20; seed++) {
          Simulation simulation = new Simulation(balancers, warmRate(n), evenLoad(balancers), seed);
          simulation.run(2, simulation.warmRate);
          sendsInFirstSeconds += simulation.sends.size();
          simulation.run(8, simulation.warmRate);
          sends += simulation.sends.size();
          // The contract's capacity of the cold server over these 10 s.
          capacity += simulation.warmRate * 10 * simulation.settings.contract().warmth(5);
        }
        String scenario = balancers + " balancers, N " + n;
        assertTrue(sends > 0.9 * capacity, scenario + ": " + sends + " of " + capacity);
        assertTrue(sendsInFirstSeconds > 0, scenario + ": no request in the first 2 s");
      }
    }
  }
}
