package beamspread.chaos.members;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.chaos.LinkState;
import beamspread.tier.MemberState;
import beamspread.tier.Tier;
import beamspread.tier.TierSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The hard cases of membership, on virtual time with the real state machine. */
@Execution(ExecutionMode.CONCURRENT)
class TierCourseTest {
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1000 * MILLI;
  private static final LinkState CUT = new LinkState(true, 0, 0, 0, 0, 0, 0, 0);

  private static LinkState loss(double share) {
    return new LinkState(false, share, MILLI, 4 * MILLI, 0.01, 0.02, 0.005, 0);
  }

  private static MemberWorld world(int size, long seed) {
    System.out.println("members " + size + ", seed " + seed);
    return new MemberWorld(size, seed, TierMember.maker(size, seed));
  }

  private static MemberWorld settled(int size, long seed) {
    MemberWorld world = world(size, seed);
    for (int i = 0; i < size; i++) {
      world.start(i);
    }
    agree(world, 30 * SECOND);
    world.pass(3 * SECOND);
    return world;
  }

  private static Tier tier(MemberWorld world, int number) {
    return ((TierMember) world.member(number)).tier();
  }

  /** All that run know exactly those that are alive, and the same of them. */
  private static boolean agreed(MemberWorld world) {
    int digest = 0;
    boolean first = true;
    for (int i = 0; i < world.size(); i++) {
      if (!world.alive(i)) {
        continue;
      }
      if (!first && world.member(i).digest() != digest) {
        return false;
      }
      first = false;
      digest = world.member(i).digest();
    }
    for (int i = 0; i < world.size(); i++) {
      for (int j = 0; world.alive(i) && j < world.size(); j++) {
        if (world.member(i).here(j) != world.alive(j)) {
          return false;
        }
      }
    }
    return true;
  }

  private static void agree(MemberWorld world, long within) {
    long from = world.now();
    boolean agreed = world.passUntil(within, 50 * MILLI, () -> agreed(world));
    assertThat(agreed).as("agreement within " + within / MILLI + " ms").isTrue();
    System.out.println("agreed after " + (world.now() - from) / MILLI + " ms");
  }

  private static List<MemberWorld.Judgement> gone(MemberWorld world, IntPredicate of, long since) {
    return world.judgements().stream()
        .filter(one -> !one.here() && of.test(one.of()) && one.at() >= since)
        .toList();
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 3, 14, 100, 400})
  void allThatStartAtOnceKnowOneAnotherAndNobodyIsCalledGone(int size) {
    MemberWorld world = settled(size, 3);
    world.pass(30 * SECOND);
    long before = world.bytes();
    world.pass(20 * SECOND);
    assertThat(gone(world, number -> true, 0)).isEmpty();
    double perSecond = (world.bytes() - before) / 20.0 / size;
    System.out.println("bytes a second of each: " + Math.round(perSecond));
    assertThat(perSecond).isLessThan(2000);
    for (int i = 0; i < size; i++) {
      assertThat(tier(world, i).connectivity(world.now()).bothWays()).isEqualTo(1);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 14, 100})
  void aDeathIsKnownEverywhereWithinThreeSecondsAtTenPercentLoss(int size) {
    MemberWorld world = settled(size, 5);
    world.links((from, to) -> loss(0.1));
    world.pass(20 * SECOND);
    assertThat(gone(world, number -> true, 0)).isEmpty();
    for (int dies : new int[] {1, size - 1}) {
      long at = world.now();
      world.kill(dies);
      boolean known =
          world.passUntil(
              4 * SECOND,
              10 * MILLI,
              () -> {
                for (int i = 0; i < size; i++) {
                  if (world.alive(i) && world.member(i).here(dies)) {
                    return false;
                  }
                }
                return true;
              });
      System.out.println("known everywhere after " + (world.now() - at) / MILLI + " ms");
      assertThat(known).isTrue();
      if (size == 3) {
        break;
      }
      world.pass(5 * SECOND);
    }
    long alive = world.now();
    world.pass(10 * SECOND);
    assertThat(gone(world, world::alive, 0)).isEmpty();
    assertThat(world.now()).isGreaterThan(alive);
  }

  @Test
  void whoLeavesIsKnownToHaveLeftAtOnceAndOldNewsBringNobodyBack() {
    MemberWorld world = settled(14, 7);
    long at = world.now();
    world.leave(4);
    assertThat(world.passUntil(SECOND, 10 * MILLI, () -> agreed(world))).isTrue();
    System.out.println("known after " + (world.now() - at) / MILLI + " ms");
    assertThat(tier(world, 0).member(4).state()).isEqualTo(MemberState.LEFT);
    world.pass(30 * SECOND);
    assertThat(agreed(world)).isTrue();
    world.start(4);
    agree(world, 5 * SECOND);
  }

  @Test
  void aMemberThatStoodForFiveSecondsComesBackAndBlamesNobody() {
    MemberWorld world = settled(14, 11);
    long from = world.now();
    world.stop(3, 5 * SECOND);
    world.pass(5 * SECOND);
    agree(world, 3 * SECOND);
    world.pass(10 * SECOND);
    assertThat(gone(world, number -> number != 3, from)).isEmpty();
    // At each other member one fall and one rise, no more.
    long changes = world.judgements().stream().filter(one -> one.at() >= from).count();
    assertThat(changes).isEqualTo(2 * 13);
  }

  @Test
  void allThatStoodAtOnceBlameNobody() {
    MemberWorld world = settled(14, 13);
    for (int i = 0; i < 14; i++) {
      world.stop(i, 8 * SECOND + i * 3 * MILLI);
    }
    world.pass(30 * SECOND);
    assertThat(gone(world, number -> true, 0)).isEmpty();
    assertThat(agreed(world)).isTrue();
  }

  @Test
  void pausesOfUpToASecondAccuseNobody() {
    MemberWorld world = settled(14, 17);
    SplittableRandom random = new SplittableRandom(17);
    long[] stoodUntil = new long[14];
    world.links((from, to) -> loss(0.1));
    for (int i = 0; i < 300; i++) {
      int who = random.nextInt(14);
      if (stoodUntil[who] < world.now() - SECOND) {
        long nanos = (long) (random.nextDouble() * SECOND);
        stoodUntil[who] = world.now() + nanos;
        world.stop(who, nanos);
      }
      world.pass(200 * MILLI);
    }
    assertThat(gone(world, number -> true, 0)).isEmpty();
  }

  @Test
  void aLinkThatIsCutInOneDirectionPutsNobodyOutAndIsNamed() {
    MemberWorld world = settled(14, 19);
    world.links((from, to) -> from == 1 && to == 2 ? CUT : LinkState.CLEAR);
    world.pass(60 * SECOND);
    assertThat(gone(world, number -> true, 0)).isEmpty();
    assertThat(agreed(world)).isTrue();
  }

  @Test
  void aBridgeBetweenTwoPutsNeitherOut() {
    int named = 0;
    for (int first = 0; first < 6; first++) {
      MemberWorld world = settled(7, 23 + first);
      int a = first;
      int b = (first + 1) % 7;
      world.links(
          (from, to) -> from == a && to == b || from == b && to == a ? CUT : LinkState.CLEAR);
      world.pass(30 * SECOND);
      assertThat(gone(world, number -> true, 0)).isEmpty();
      // Where the two stand beside one another, each misses the other, and all are told.
      List<Integer> missedBy = tier(world, a).view(world.now()).members().get(b).missedBy();
      if (!missedBy.isEmpty()) {
        named++;
        assertThat(missedBy).containsExactly(a);
        assertThat(tier(world, (b + 1) % 7).view(world.now()).members().get(a).missedBy())
            .containsExactly(b);
      }
      world.links((from, to) -> LinkState.CLEAR);
      world.pass(3 * SECOND);
      assertThat(tier(world, a).view(world.now()).members().get(b).missedBy()).isEmpty();
    }
    assertThat(named).isPositive();
  }

  @Test
  void whoHearsNobodyDoubtsItselfAndWhoIsHeardByNobodyIsPutOutOnce() {
    MemberWorld world = settled(14, 29);
    long from = world.now();
    world.links((sender, to) -> to == 5 ? CUT : LinkState.CLEAR);
    world.pass(20 * SECOND);
    assertThat(gone(world, number -> true, from)).isEmpty();
    assertThat(tier(world, 5).self().state()).isEqualTo(MemberState.UNSURE);
    assertThat(tier(world, 5).connectivity(world.now()).hears()).isLessThan(0.1);
    assertThat(tier(world, 0).member(5).state()).isEqualTo(MemberState.UNSURE);
    world.links((sender, to) -> LinkState.CLEAR);
    agree(world, 5 * SECOND);

    long deaf = world.now();
    world.links((sender, to) -> sender == 6 ? CUT : LinkState.CLEAR);
    world.pass(20 * SECOND);
    assertThat(gone(world, number -> number != 6, deaf)).isEmpty();
    assertThat(gone(world, number -> number == 6, deaf)).hasSize(13);
    assertThat(tier(world, 6).connectivity(world.now()).heardBy()).isLessThan(0.1);
    world.links((sender, to) -> LinkState.CLEAR);
    agree(world, 8 * SECOND);
  }

  @ParameterizedTest
  @ValueSource(ints = {14, 100})
  void aZoneThatIsCutOffAndHealedAgreesAgainDespiteRestartsOnBothSides(int size) {
    MemberWorld world = settled(size, 31);
    IntPredicate cutOff = number -> number % 3 == 0;
    world.links((from, to) -> cutOff.test(from) != cutOff.test(to) ? CUT : LinkState.CLEAR);
    long cutAt = world.now();
    assertThat(world.passUntil(20 * SECOND, 100 * MILLI, () -> parted(world, cutOff))).isTrue();
    System.out.println("parted after " + (world.now() - cutAt) / MILLI + " ms");
    for (int i = 0; i < size; i++) {
      double part = tier(world, i).connectivity(world.now()).bothWays();
      assertThat(part < 0.5).isEqualTo(cutOff.test(i));
    }
    world.kill(3);
    world.kill(4);
    world.pass(SECOND);
    world.start(3);
    world.start(4);
    world.pass(5 * SECOND);
    world.links((from, to) -> LinkState.CLEAR);
    agree(world, 8 * SECOND);
    long healed = world.now();
    world.pass(20 * SECOND);
    assertThat(gone(world, number -> true, healed)).isEmpty();
  }

  private static boolean parted(MemberWorld world, IntPredicate cutOff) {
    for (int i = 0; i < world.size(); i++) {
      for (int j = 0; j < world.size(); j++) {
        if (world.member(i).here(j) != (cutOff.test(i) == cutOff.test(j))) {
          return false;
        }
      }
    }
    return true;
  }

  @ParameterizedTest
  @ValueSource(ints = {14, 100})
  void sevenInTenKilledAtOnceAndBackAreTakenAsNew(int size) {
    MemberWorld world = settled(size, 37);
    for (int i = 0; i < size * 7 / 10; i++) {
      world.kill(i);
    }
    world.pass(800 * MILLI);
    for (int i = 0; i < size * 7 / 10; i++) {
      world.start(i);
    }
    agree(world, 10 * SECOND);
    long from = world.now();
    world.pass(10 * SECOND);
    assertThat(gone(world, number -> true, from)).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(ints = {14, 100})
  void sevenInTenThatStayDeadAreGoneForAllThatAreLeft(int size) {
    MemberWorld world = settled(size, 41);
    long at = world.now();
    for (int i = 0; i < size * 7 / 10; i++) {
      world.kill(i);
    }
    agree(world, 20 * SECOND);
    System.out.println("known after " + (world.now() - at) / MILLI + " ms");
    assertThat(gone(world, world::alive, 0)).isEmpty();
  }

  @Test
  void fortyPercentLossPutsNobodyOut() {
    MemberWorld world = settled(14, 43);
    world.links((from, to) -> loss(0.4));
    world.pass(300 * SECOND);
    assertThat(gone(world, number -> true, 0)).isEmpty();
    long at = world.now();
    world.kill(9);
    assertThat(world.passUntil(15 * SECOND, 50 * MILLI, () -> !world.member(0).here(9))).isTrue();
    System.out.println("known after " + (world.now() - at) / MILLI + " ms");
  }

  @Test
  void aMemberThatStarvesIsNotPutOut() {
    MemberWorld world = settled(14, 47);
    for (int i = 0; i < 60; i++) {
      world.stop(2, 500 * MILLI);
      world.pass(510 * MILLI);
    }
    assertThat(gone(world, number -> true, 0)).isEmpty();
  }

  @Test
  void aClockThatWasSetBackMakesNoMemberItsOwnPast() {
    int size = 7;
    MemberWorld world =
        new MemberWorld(
            size,
            53,
            TierMember.maker(
                TierSettings.defaults("trial"), size, 53, start -> start == 1 ? -100_000 : 0));
    for (int i = 0; i < size; i++) {
      world.start(i);
    }
    agree(world, 30 * SECOND);
    world.kill(2);
    world.pass(5 * SECOND);
    world.start(2);
    agree(world, 5 * SECOND);
    world.pass(5 * SECOND);
    assertThat(agreed(world)).isTrue();
    assertThat(tier(world, 2).superseded()).isFalse();
  }

  @Test
  void aTierThatGrowsFromThreeToAHundredTakesAllIn() {
    int size = 100;
    MemberWorld world = world(size, 59);
    for (int i = 0; i < 3; i++) {
      world.start(i);
    }
    world.pass(5 * SECOND);
    for (int i = 3; i < size; i++) {
      world.start(i);
      world.pass(100 * MILLI);
    }
    agree(world, 10 * SECOND);
    assertThat(gone(world, number -> true, 0)).isEmpty();
    world.pass(60 * SECOND);
    // Names, zones and versions go round as well.
    assertThat(tier(world, 0).view(world.now()).members())
        .hasSize(size)
        .allMatch(one -> one.info() != null);
  }

  /** Whatever befalls a tier, afterwards all agree on who is there. */
  @ParameterizedTest
  @ValueSource(ints = {3, 14, 40})
  void afterAnyCourseAllAgree(int size) {
    for (long seed = 1; seed <= (size > 20 ? 10 : 40); seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      MemberWorld world = settled(size, seed);
      for (int step = 0; step < 12; step++) {
        befall(world, random);
        world.pass((long) (random.nextDouble() * 4 * SECOND));
      }
      world.links((from, to) -> LinkState.CLEAR);
      for (int i = 0; i < size; i++) {
        if (!world.alive(i)) {
          world.start(i);
        }
      }
      agree(world, 25 * SECOND);
    }
  }

  private static void befall(MemberWorld world, SplittableRandom random) {
    int size = world.size();
    int who = random.nextInt(size);
    int other = random.nextInt(size);
    long salt = random.nextLong();
    switch (random.nextInt(8)) {
      case 0 -> world.kill(who);
      case 1 -> world.start(who);
      case 2 -> world.stop(who, (long) (random.nextDouble() * 10 * SECOND));
      case 3 -> world.links((from, to) -> from == who && to == other ? CUT : LinkState.CLEAR);
      case 4 -> world.links((from, to) -> from == who ? CUT : loss(0.05));
      case 5 -> {
        int share = 2 + random.nextInt(4);
        world.links((from, to) -> from % share == 0 != (to % share == 0) ? CUT : LinkState.CLEAR);
      }
      case 6 -> world.links((from, to) -> (from * 31L + to ^ salt) % 5 == 0 ? CUT : loss(0.2));
      default -> world.links((from, to) -> loss(0.3));
    }
  }

  /** Numbers that members know of, for a message. */
  static String known(MemberWorld world) {
    List<String> all = new ArrayList<>();
    for (int i = 0; i < world.size(); i++) {
      TreeSet<Integer> here = new TreeSet<>();
      for (int j = 0; world.alive(i) && j < world.size(); j++) {
        if (world.member(i).here(j)) {
          here.add(j);
        }
      }
      all.add(i + ": " + here);
    }
    return String.join("\n", all);
  }
}
