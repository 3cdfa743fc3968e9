package beamspread.chaos.members;

import beamspread.chaos.LinkState;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/**
 * How often a way of membership calls a live member gone, and how soon all know of a death, under
 * faults of one kind.
 */
public final class MembershipTrial {
  private static final long SECOND = 1_000_000_000L;
  private static final long MINUTE = 60 * SECOND;
  private static final LinkState CUT = new LinkState(true, 0, 0, 0, 0, 0, 0, 0);

  private MembershipTrial() {}

  /**
   * What befalls a tier.
   *
   * @param loss share of datagrams that are lost
   * @param pauseSeconds how long a member stands still, at most; each does so about once a minute
   * @param oneWayCuts links that are cut in one direction at a time, others every ten seconds
   */
  public record Conditions(double loss, double pauseSeconds, int oneWayCuts) {}

  /**
   * What came of it.
   *
   * @param falselyGone members called gone though they ran and both sides could reach them, each
   *     counted once for each time, however many thought so
   * @param detected after how long each death was known everywhere, in nanoseconds, in order
   * @param missed deaths that were not known everywhere after 30 s
   */
  public record Outcome(
      double nodeHours, long falselyGone, List<Long> detected, int missed, double bytesPerSecond) {

    /** Both together. */
    public Outcome and(Outcome other) {
      List<Long> all = new ArrayList<>(detected);
      all.addAll(other.detected);
      Collections.sort(all);
      double hours = nodeHours + other.nodeHours;
      return new Outcome(
          hours,
          falselyGone + other.falselyGone,
          all,
          missed + other.missed,
          (bytesPerSecond * nodeHours + other.bytesPerSecond * other.nodeHours) / hours);
    }

    /** The time by which this part of the deaths is known, in seconds; NaN where none was. */
    public double percentile(double part) {
      if (detected.isEmpty()) {
        return Double.NaN;
      }
      int at = (int) Math.ceil(part * detected.size()) - 1;
      return detected.get(Math.max(0, at)) / 1e9;
    }
  }

  /** Plays a tier for some minutes, in which one member after the other dies and comes back. */
  public static Outcome play(
      int size, long seed, int minutes, Conditions conditions, Member.Maker maker) {
    MemberWorld world = new MemberWorld(size, seed, maker);
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < size; i++) {
      world.start(i);
    }
    world.pass(30 * SECOND);
    long[] stoodUntil = new long[size];
    int[] cuts = new int[2 * conditions.oneWayCuts()];
    world.links((from, to) -> state(conditions, cuts, from, to));
    double nodeSeconds = 0;
    long bytesBefore = world.bytes();
    int judged = world.judgements().size();
    long falselyGone = 0;
    int missed = 0;
    List<Long> detected = new ArrayList<>();
    long[] calledAt = new long[size];
    java.util.Arrays.fill(calledAt, -MINUTE);
    for (int minute = 0; minute < minutes; minute++) {
      for (int part = 0; part < 6; part++) {
        for (int i = 0; i < cuts.length; i++) {
          cuts[i] = random.nextInt(size);
        }
        long until = world.now() + 10 * SECOND;
        while (world.now() < until) {
          // About one in six stands still within ten seconds.
          if (conditions.pauseSeconds() > 0 && random.nextInt(60) < size) {
            for (int i = 0; i < Math.max(1, size / 60); i++) {
              int who = random.nextInt(size);
              if (stoodUntil[who] > world.now() - SECOND) {
                continue;
              }
              long nanos = (long) (random.nextDouble() * conditions.pauseSeconds() * 1e9);
              world.stop(who, nanos);
              stoodUntil[who] = world.now() + nanos;
            }
          }
          world.pass(SECOND);
          nodeSeconds += size;
        }
        for (; judged < world.judgements().size(); judged++) {
          MemberWorld.Judgement one = world.judgements().get(judged);
          // Who stands still, or did a moment ago, is not reachable; nor can it know.
          boolean reachable =
              world.alive(one.of())
                  && world.alive(one.by())
                  && one.at() > stoodUntil[one.of()] + SECOND;
          if (!one.here() && reachable && one.at() - calledAt[one.of()] > 10 * SECOND) {
            calledAt[one.of()] = one.at();
            falselyGone++;
          }
        }
      }
      int dies = random.nextInt(size);
      long at = world.now();
      world.kill(dies);
      boolean known =
          world.passUntil(30 * SECOND, SECOND / 100, () -> knownEverywhere(world, dies));
      if (known) {
        detected.add(world.now() - at);
      } else {
        missed++;
      }
      nodeSeconds += size * ((world.now() - at) / 1e9);
      world.start(dies);
      world.pass(10 * SECOND);
      nodeSeconds += size * 10.0;
      judged = world.judgements().size();
    }
    Collections.sort(detected);
    return new Outcome(
        nodeSeconds / 3600,
        falselyGone,
        detected,
        missed,
        (world.bytes() - bytesBefore) / nodeSeconds);
  }

  private static LinkState state(Conditions conditions, int[] cuts, int from, int to) {
    for (int i = 0; i < cuts.length; i += 2) {
      if (cuts[i] == from && cuts[i + 1] == to) {
        return CUT;
      }
    }
    return new LinkState(false, conditions.loss(), 500_000, 2_000_000, 0, 0, 0, 0);
  }

  private static boolean knownEverywhere(MemberWorld world, int dead) {
    for (int i = 0; i < world.size(); i++) {
      // One that stands still learns of it when it goes on.
      if (world.runs(i) && world.member(i).here(dead)) {
        return false;
      }
    }
    return true;
  }
}
