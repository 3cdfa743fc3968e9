package beamspread.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.model.MembershipUpdate;
import beamspread.model.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates, in virtual time, a fleet's calls for the list around an outage of discovery: all
 * callers are answered within 6 s of its return, and their retries don't overload it.
 */
class DiscoveryOutageTest {
  private static final double DOWN_AT_SECONDS = 10;

  /** Seconds that discovery works on one call, and the longest wait in its queue. */
  private static final double WORK_SECONDS = 0.004;

  private static final double MAX_QUEUE_SECONDS = 2;

  /** Seconds after which the client gives up a call without an answer. */
  private static final double ANSWER_TIMEOUT_SECONDS = 2.5;

  /** Seconds after which the client gives up a connect that hangs. */
  private static final double CONNECT_TIMEOUT_SECONDS = 0.8;

  private static final class Simulation extends VirtualTime {
    final List<Double> callsAt = new ArrayList<>();
    final List<Double> answerDelays = new ArrayList<>();
    final SplittableRandom random;
    final String fault;
    final double upAt;
    double idleAt;

    Simulation(int callers, String fault, double callWithin, long seed) {
      this.random = new SplittableRandom(seed);
      this.fault = fault;
      this.upAt = DOWN_AT_SECONDS + 8 + random.nextDouble();
      Settings settings = BalancerFixtures.callingForList(callers, callWithin);
      for (int i = 0; i < callers; i++) {
        Caller caller = new Caller(settings, this);
        caller.feed.apply(0, BalancerFixtures.cachedList(1));
        // The watch ends when discovery goes down.
        schedule(DOWN_AT_SECONDS, caller::onFailure);
      }
    }
  }

  private static final class Caller extends BalancerFixtures.Recorder {
    final Simulation simulation;
    final MembershipFeed feed;
    private int currentCall;

    Caller(Settings settings, Simulation simulation) {
      this.simulation = simulation;
      this.feed = new MembershipFeed(settings, this, simulation.random.split());
    }

    @Override
    public void setTimer(long token, double delay) {
      simulation.schedule(simulation.now + delay, () -> feed.onTimer(simulation.now));
    }

    @Override
    public void subscribe(boolean on) {
      int thisCall = ++currentCall;
      simulation.callsAt.add(simulation.now);
      double failsAfter = -1;
      if (simulation.now >= DOWN_AT_SECONDS && simulation.now < simulation.upAt) {
        switch (simulation.fault) {
          case "refused" -> failsAfter = 0.001;
          case "hangs" -> failsAfter = CONNECT_TIMEOUT_SECONDS;
          default -> failsAfter = ANSWER_TIMEOUT_SECONDS;
        }
      } else {
        double startsAt = Math.max(simulation.now, simulation.idleAt);
        if (startsAt - simulation.now > MAX_QUEUE_SECONDS) {
          failsAfter = MAX_QUEUE_SECONDS;
        } else {
          simulation.idleAt = startsAt + WORK_SECONDS;
          simulation.schedule(simulation.idleAt, () -> onAnswer(thisCall));
        }
      }
      if (failsAfter >= 0) {
        simulation.schedule(
            simulation.now + failsAfter,
            () -> {
              if (thisCall == currentCall) {
                onFailure();
              }
            });
      }
    }

    void onFailure() {
      feed.apply(simulation.now, new MembershipUpdate(MembershipUpdate.Kind.FAILED, 0, List.of()));
    }

    private void onAnswer(int thisCall) {
      if (thisCall == currentCall) {
        feed.apply(
            simulation.now, new MembershipUpdate(MembershipUpdate.Kind.CHANGES, 2, List.of()));
        if (simulation.now > DOWN_AT_SECONDS) {
          simulation.answerDelays.add(simulation.now - simulation.upAt);
        }
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "14, refused", "14, hangs", "14, silent",
    "100, refused", "100, hangs", "100, silent",
    "490, refused", "490, hangs", "490, silent"
  })
  void allCallersAreAnsweredInTimeWithoutExcessCalls(int callers, String fault) {
    for (double callWithin : new double[] {1, 2.5, 5, 10, 30, 60}) {
      for (long seed = 1; seed <= 5; seed++) {
        Simulation simulation = new Simulation(callers, fault, callWithin, seed);
        simulation.runUntil(40);
        String scenario = callers + " " + fault + ", call-within " + callWithin + ", seed " + seed;
        assertTrue(
            simulation.answerDelays.size() == callers,
            scenario + ": answered " + simulation.answerDelays.size());
        double last =
            simulation.answerDelays.stream().mapToDouble(Double::doubleValue).max().orElseThrow();
        // Discovery itself needs this long to answer all callers one after the other.
        double bound = 6 + Math.max(0, callers * WORK_SECONDS - MAX_QUEUE_SECONDS / 2);
        assertTrue(last < bound, scenario + ": last answer after " + last);
        long callsAfterReturn =
            simulation.callsAt.stream().filter(at -> at >= simulation.upAt).count();
        assertTrue(
            callsAfterReturn < 2.2 * callers,
            scenario + ": " + callsAfterReturn + " calls after the return");
        double rate = busiestSecond(simulation.callsAt);
        assertTrue(rate <= 4 * callers, scenario + ": " + rate + " calls in a second");
      }
    }
  }

  private static int busiestSecond(List<Double> calls) {
    int bound = 0;
    int from = 0;
    for (int to = 0; to < calls.size(); to++) {
      while (calls.get(to) - calls.get(from) > 1) {
        from++;
      }
      bound = Math.max(bound, to - from + 1);
    }
    return bound;
  }
}
