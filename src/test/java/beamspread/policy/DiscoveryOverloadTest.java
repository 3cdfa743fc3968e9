package beamspread.policy;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.model.ListEvidence;
import beamspread.model.MembershipUpdate;
import beamspread.model.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates, in virtual time, a fleet's calls to a discovery service that accepts more calls than
 * it can answer before they time out, and so also works on abandoned calls. If callers retry too
 * soon, the service never catches up.
 */
class DiscoveryOverloadTest {
  /** Seconds after which a call that waits is answered as overloaded. */
  private static final double TIMEOUT_SECONDS = 2;

  /** A call is rejected at once if its answer would take this many timeouts. */
  private static final double MAX_QUEUED_TIMEOUTS = 3;

  private static final double REJECTED_AFTER_SECONDS = 0.03;

  /** Why the whole fleet needs the list at about the same time. */
  private enum Cause {
    WATCHES_LOST,
    RESTARTED
  }

  private static final class Simulation extends VirtualTime {
    final List<Double> answeredAt = new ArrayList<>();
    final SplittableRandom random;
    final double workPerCall;
    double idleAt;
    int calls;

    /**
     * @param secondsForAll seconds in which the service can answer one call of each caller
     */
    Simulation(int callers, double secondsForAll, Cause cause, long seed) {
      random = new SplittableRandom(seed);
      workPerCall = secondsForAll / callers;
      Settings settings = BalancerFixtures.callingForList(callers, 10);
      for (int i = 0; i < callers; i++) {
        Caller caller = new Caller(settings, this);
        if (cause == Cause.WATCHES_LOST) {
          caller.feed.apply(0, BalancerFixtures.cachedList(1));
          caller.feed.apply(0, emptyUpdate(MembershipUpdate.Kind.CHANGES));
          caller.feed.recordEvidence(0, ListEvidence.CONFIRMED);
          schedule(0, () -> caller.onFailure(MembershipUpdate.Kind.FAILED));
        } else {
          schedule(
              random.nextDouble(0.5), () -> caller.feed.apply(now, BalancerFixtures.cachedList(1)));
        }
      }
    }

    /** Accepts or rejects a call and schedules the caller's result. */
    void acceptCall(Caller caller) {
      calls++;
      double finishedAt = Math.max(now, idleAt) + workPerCall;
      if (finishedAt - now > MAX_QUEUED_TIMEOUTS * TIMEOUT_SECONDS) {
        schedule(
            now + REJECTED_AFTER_SECONDS, () -> caller.onFailure(MembershipUpdate.Kind.OVERLOADED));
        return;
      }
      // The service works on it in its turn, even if the caller has timed out by then.
      idleAt = finishedAt;
      if (finishedAt - now > TIMEOUT_SECONDS) {
        schedule(now + TIMEOUT_SECONDS, () -> caller.onFailure(MembershipUpdate.Kind.OVERLOADED));
      } else {
        schedule(finishedAt, caller::onAnswer);
      }
    }

    static MembershipUpdate emptyUpdate(MembershipUpdate.Kind kind) {
      return new MembershipUpdate(kind, 2, List.of());
    }
  }

  private static final class Caller extends BalancerFixtures.Recorder {
    final Simulation simulation;
    final MembershipFeed feed;

    Caller(Settings settings, Simulation simulation) {
      this.simulation = simulation;
      feed = new MembershipFeed(settings, this, simulation.random.split());
    }

    @Override
    public void setTimer(long token, double delay) {
      simulation.schedule(simulation.now + delay, () -> feed.onTimer(simulation.now));
    }

    @Override
    public void subscribe(boolean on) {
      simulation.acceptCall(this);
    }

    void onFailure(MembershipUpdate.Kind kind) {
      feed.apply(simulation.now, Simulation.emptyUpdate(kind));
    }

    void onAnswer() {
      feed.apply(simulation.now, Simulation.emptyUpdate(MembershipUpdate.Kind.CHANGES));
      simulation.answeredAt.add(simulation.now);
    }
  }

  /** The service could answer all callers in 8 s or less, one after the other. */
  @ParameterizedTest
  @CsvSource({
    "30, 4, WATCHES_LOST", "100, 4, WATCHES_LOST", "100, 8, WATCHES_LOST", "490, 8, WATCHES_LOST",
    "30, 4, RESTARTED", "100, 4, RESTARTED", "100, 8, RESTARTED", "490, 8, RESTARTED"
  })
  void allCallersAreAnsweredAfterCallingTogether(int callers, double secondsForAll, Cause cause) {
    for (long seed = 1; seed <= 10; seed++) {
      Simulation simulation = new Simulation(callers, secondsForAll, cause, seed);
      simulation.runUntil(60);
      String scenario =
          "%d callers, %.0f s, %s, seed %d: ".formatted(callers, secondsForAll, cause, seed);
      assertThat(simulation.answeredAt).as(scenario + "answered").hasSize(callers);
      double mean =
          simulation.answeredAt.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
      double last = simulation.answeredAt.get(callers - 1);
      assertThat(mean).as(scenario + "mean").isLessThan(2 * secondsForAll);
      assertThat(last).as(scenario + "last").isLessThan(4 * secondsForAll);
      assertThat(simulation.calls).as(scenario + "calls").isLessThan(4 * callers);
    }
  }
}
