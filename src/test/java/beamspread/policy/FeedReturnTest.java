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
 * A whole fleet's calls for the list around an outage of discovery, in virtual time: whoever asks
 * is answered within 6 s of its return, and their calls are not what keeps it down.
 */
class FeedReturnTest {
  private static final double DOWN_AT = 10;

  /** How long discovery works on one call, and how long one may wait for its turn. */
  private static final double WORK = 0.004;

  private static final double LONGEST_WAIT = 2;

  /** How long the socket's side waits for an answer before it gives a call up. */
  private static final double GIVEN_UP_AFTER = 2.5;

  /** How long a connect that hangs takes to be given up. */
  private static final double HANGS_FOR = 0.8;

  private static final class World extends VirtualTime {
    final List<Double> callsAt = new ArrayList<>();
    final List<Double> toldAt = new ArrayList<>();
    final SplittableRandom random;
    final String fault;
    final double upAt;
    double freeAt;

    World(int callers, String fault, double askWithin, long seed) {
      this.random = new SplittableRandom(seed);
      this.fault = fault;
      this.upAt = DOWN_AT + 8 + random.nextDouble();
      Settings settings = Rig.asking(callers, askWithin);
      for (int i = 0; i < callers; i++) {
        Caller caller = new Caller(settings, this);
        caller.feed.apply(0, Rig.fleet(1));
        // Its watch ends with discovery.
        at(DOWN_AT, caller::failed);
      }
    }
  }

  private static final class Caller extends Rig.Recorder {
    final World world;
    final MembershipFeed feed;
    private int call;

    Caller(Settings settings, World world) {
      this.world = world;
      this.feed = new MembershipFeed(settings, this, world.random.split());
    }

    @Override
    public void wake(long token, double delay) {
      world.at(world.now + delay, () -> feed.timer(world.now));
    }

    @Override
    public void subscribe(boolean on) {
      int mine = ++call;
      world.callsAt.add(world.now);
      double wait = -1;
      if (world.now >= DOWN_AT && world.now < world.upAt) {
        switch (world.fault) {
          case "refused" -> wait = 0.001;
          case "hangs" -> wait = HANGS_FOR;
          default -> wait = GIVEN_UP_AFTER;
        }
      } else {
        double turn = Math.max(world.now, world.freeAt);
        if (turn - world.now > LONGEST_WAIT) {
          wait = LONGEST_WAIT;
        } else {
          world.freeAt = turn + WORK;
          world.at(world.freeAt, () -> answered(mine));
        }
      }
      if (wait >= 0) {
        world.at(
            world.now + wait,
            () -> {
              if (mine == call) {
                failed();
              }
            });
      }
    }

    void failed() {
      feed.apply(world.now, new MembershipUpdate(MembershipUpdate.Kind.FAILED, 0, List.of()));
    }

    private void answered(int mine) {
      if (mine == call) {
        feed.apply(world.now, new MembershipUpdate(MembershipUpdate.Kind.CHANGES, 2, List.of()));
        if (world.now > DOWN_AT) {
          world.toldAt.add(world.now - world.upAt);
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
  void allAreToldInTimeAndCallNoMoreThanTheyMust(int callers, String fault) {
    for (double askWithin : new double[] {1, 2.5, 5, 10, 30, 60}) {
      for (long seed = 1; seed <= 5; seed++) {
        World world = new World(callers, fault, askWithin, seed);
        world.play(40);
        String which = callers + " " + fault + ", ask-within " + askWithin + ", seed " + seed;
        assertTrue(world.toldAt.size() == callers, which + ": told " + world.toldAt.size());
        double last = world.toldAt.stream().mapToDouble(Double::doubleValue).max().orElseThrow();
        // What discovery itself needs for so many in turn, where that is more than a moment.
        double most = 6 + Math.max(0, callers * WORK - LONGEST_WAIT / 2);
        assertTrue(last < most, which + ": the last was told after " + last);
        long after = world.callsAt.stream().filter(at -> at >= world.upAt).count();
        assertTrue(after < 2.2 * callers, which + ": " + after + " calls after the return");
        double rate = busiestSecond(world.callsAt);
        assertTrue(rate <= 4 * callers, which + ": " + rate + " calls in a second");
      }
    }
  }

  private static int busiestSecond(List<Double> calls) {
    int most = 0;
    int from = 0;
    for (int to = 0; to < calls.size(); to++) {
      while (calls.get(to) - calls.get(from) > 1) {
        from++;
      }
      most = Math.max(most, to - from + 1);
    }
    return most;
  }
}
