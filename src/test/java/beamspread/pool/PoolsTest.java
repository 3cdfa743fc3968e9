package beamspread.pool;

import static beamspread.pool.World.MS;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class PoolsTest {
  private static World world(int connections, int sockets, int spare, int servers) {
    World world = new World(World.settings(connections, sockets, spare), new Random(1));
    for (int i = 0; i < servers; i++) {
      world.pools.listed(i, false, Long.MIN_VALUE);
    }
    return world;
  }

  private static void allComeUp(World world) {
    for (int i = 0; !world.toOpen.isEmpty(); i++) {
      assertThat(i).as("connections tried without an end").isLessThan(1000);
      world.comesUp(world.toOpen.get(0));
    }
  }

  @Test
  void freeOnesAreUsedLastUsedFirstAndTheRestFallIdle() {
    World world = world(6, 20, 0, 1);
    for (int i = 0; i < 3; i++) {
      world.send(0, false);
    }
    allComeUp(world);
    assertThat(world.up()).hasSize(3);
    List<World.Conn> all = world.up();
    for (World.Conn conn : all) {
      world.now += 10 * MS;
      world.answers(conn);
    }
    for (int i = 0; i < 600; i++) {
      world.now += 10 * MS;
      World.Try one = world.send(0, false);
      assertThat(one.on).as("the one used last").isSameAs(all.get(2));
      world.answers(one.on);
      world.pools.tick(world.now);
      world.reap();
    }
    assertThat(world.up()).containsExactly(all.get(2));
    assertThat(world.handshakes).isEqualTo(3);
  }

  @Test
  void noneThatHasOutlivedItsTimeIsWrittenToThoughNoSweepCameBy() {
    World world = world(6, 20, 0, 1);
    World.Try first = world.send(0, false);
    allComeUp(world);
    world.answers(first.on);
    world.now += 5000 * MS;
    World.Try second = world.send(0, false);
    assertThat(first.on.closing).isTrue();
    allComeUp(world);
    assertThat(second.on).isNotNull().isNotSameAs(first.on);
  }

  /** Sends to ten servers in turn, of which some are full; whether a free one rests that long. */
  private static boolean keptFor(int millis, int full) {
    World world = world(1, 30, 0, 11);
    for (long server = 1; server <= full; server++) {
      world.limits.put(server, 0);
    }
    for (int i = 0; i < 300; i++) {
      world.now += 10 * MS;
      World.Try one = world.send(1 + i % 10, false);
      allComeUp(world);
      if (one.on != null) {
        world.answers(one.on);
      }
    }
    World.Try rare = world.send(0, false);
    allComeUp(world);
    world.answers(rare.on);
    world.now += millis * MS;
    world.pools.tick(world.now);
    return !rare.on.closing;
  }

  @Test
  void whereManyAttemptsFindNoConnectionFreeOnesGiveWay() {
    assertThat(keptFor(3000, 0)).as("nothing is scarce").isTrue();
    assertThat(keptFor(200, 3)).as("as long as the next request may need it").isTrue();
    assertThat(keptFor(400, 3)).as("for the others").isFalse();
  }

  @Test
  void aLimitIsLearntAtOnceAndTriedAgainOneByOne() {
    World world = world(6, 20, 0, 1);
    world.limits.put(0L, 2);
    List<World.Try> tries = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      tries.add(world.send(0, false));
      allComeUp(world);
    }
    assertThat(world.up()).hasSize(2);
    assertThat(world.refused).as("one shows the limit").isEqualTo(1);
    assertThat(tries).allMatch(one -> one.on != null);
    // Over ten seconds under load it is tried again ever more rarely.
    for (int i = 0; i < 1000; i++) {
      world.now += 10 * MS;
      world.send(0, false);
      allComeUp(world);
      List.copyOf(world.up()).stream().filter(c -> c.out.size() > 1).forEach(world::answers);
    }
    assertThat(world.refused).isBetween(2, 9);
    // The server takes more again: all of it is used in the end.
    world.limits.put(0L, 30);
    for (int i = 0; i < 6000 && world.up().size() < 6; i++) {
      world.now += 10 * MS;
      world.send(0, false);
      allComeUp(world);
      List.copyOf(world.up()).stream().filter(c -> c.out.size() > 1).forEach(world::answers);
    }
    assertThat(world.up()).hasSize(6);
  }

  @Test
  void nothingIsWrittenBehindAnAnswerThatComesInPartsNorDoesItCountAsSilent() {
    World world = world(1, 20, 0, 1);
    World.Try large = world.send(0, false);
    allComeUp(world);
    world.now += 10 * MS;
    world.begins(large.on);
    World.Try next = world.send(0, false);
    assertThat(next.on).as("waits for one more, beyond the number").isNull();
    allComeUp(world);
    assertThat(next.on).isNotNull().isNotSameAs(large.on);
    world.now += 4000 * MS;
    world.answers(next.on);
    world.answers(large.on);
    assertThat(large.end).isEqualTo("answered");
    World.Try last = world.send(0, false);
    assertThat(last.on).as("free again").isSameAs(large.on);
  }

  @Test
  void answersInPartsKeepNoConnectionFromTheOthersButTheServersLimitBoundsAll() {
    World world = world(2, 40, 0, 1);
    for (int round = 0; round < 4; round++) {
      world.send(0, false);
      allComeUp(world);
      List.copyOf(world.up()).stream()
          .filter(conn -> !conn.streams && !conn.out.isEmpty())
          .forEach(world::begins);
    }
    assertThat(world.up()).as("two, two for those that wait, and two more").hasSize(4);
    World.Try next = world.send(0, false);
    allComeUp(world);
    assertThat(next.on).isNotNull();
    assertThat(next.on.streams).isFalse();
    // The server takes five, and says so once.
    world.limits.put(0L, 5);
    world.begins(next.on);
    List<World.Try> more = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      world.now += 10 * MS;
      more.add(world.send(0, false));
      allComeUp(world);
    }
    assertThat(world.up()).hasSize(5);
    assertThat(world.refused).as("refused once, and tried again not at once").isEqualTo(1);
    assertThat(more).as("all connections are taken").allMatch(one -> "full".equals(one.end));
  }

  @Test
  void aRefusedConnectionBesideAnAnswerInPartsIsNoServerThatIsDown() {
    World world =
        new World(
            new PoolSettings(1, 1, 0, 4, 8, 4, 8, 0, 1, 5000 * MS, 0, 400 * MS, 0), new Random(1));
    world.pools.listed(0, false, Long.MIN_VALUE);
    world.limits.put(0L, 1);
    world.begins(firstUp(world));
    World.Try next = world.send(0, false);
    allComeUp(world);
    assertThat(world.refused).isEqualTo(1);
    assertThat(next.end).as("though no more may be open beside it").isEqualTo("full");
  }

  private static World.Conn firstUp(World world) {
    World.Try first = world.send(0, false);
    allComeUp(world);
    return first.on;
  }

  @Test
  void oneThatAcceptsSlowlyHoldsNothingElse() {
    World world = world(6, 20, 0, 2);
    World.Try first = world.send(0, false);
    allComeUp(world);
    World.Try second = world.send(0, false);
    assertThat(second.on).as("waits for a connection that hangs").isNull();
    World.Try other = world.send(1, false);
    world.comesUp(world.toOpen.get(1));
    assertThat(other.on).isNotNull();
    world.now += 20 * MS;
    world.answers(first.on);
    assertThat(second.on).as("has the one that fell free").isNotNull();
  }

  @Test
  void anAnswerThatIsOverdueHoldsNothingBehindIt() {
    World world = world(2, 20, 0, 1);
    World.Try slow = world.send(0, false);
    allComeUp(world);
    World.Try fast = world.send(0, false);
    allComeUp(world);
    world.now += 10 * MS;
    world.answers(fast.on);
    fast = world.send(0, false);
    world.now += 500 * MS;
    World.Conn suspect = slow.on;
    // Both have waited for too long: one more is opened though the number is reached.
    World.Try next = world.send(0, true);
    assertThat(world.toOpen).hasSize(1);
    allComeUp(world);
    assertThat(next.on).isNotSameAs(suspect).isNotSameAs(fast.on);
    World.Try one = world.send(0, false);
    allComeUp(world);
    World.Conn before = fast.on;
    // No more than these: what comes now waits behind those that may still answer.
    assertThat(world.send(0, false).on).isNotNull().isNotSameAs(suspect).isNotSameAs(before);
    assertThat(one.on).isNotSameAs(suspect).isNotSameAs(before);
    assertThat(world.toOpen).isEmpty();
  }

  @Test
  void readsKeepOffAConnectionWithAWriteThatMustNotBeLost() {
    World world = world(2, 20, 0, 1);
    World.Try write = world.send(0, true);
    world.send(0, false);
    allComeUp(world);
    assertThat(write.on).isNotNull();
    World.Try third = world.send(0, false);
    assertThat(third.on).isNotSameAs(write.on);
  }

  @Test
  void whereSocketsRunShortWhoHasFewIsServedFirst() {
    World world = world(6, 8, 0, 3);
    List<World.Try> many = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      many.add(world.send(1, false));
      allComeUp(world);
    }
    World.Try two = world.send(0, false);
    world.send(0, false);
    allComeUp(world);
    // Its own has been free longest, but it has few.
    world.answers(two.on);
    world.now += MS;
    many.forEach(one -> world.answers(one.on));
    World.Try three = world.send(2, false);
    allComeUp(world);
    assertThat(three.on).isNotNull();
    assertThat(world.up().stream().filter(one -> one.server == 1)).hasSize(5);
    assertThat(world.up().stream().filter(one -> one.server == 0)).hasSize(2);
    assertThat(world.pools.sockets()).isEqualTo(8);
  }

  @Test
  void withoutAnySocketAnAttemptIsToldAtOnce() {
    World world = world(2, 1, 0, 2);
    World.Try held = world.send(0, false);
    allComeUp(world);
    assertThat(world.send(1, false).end).isEqualTo("unreachable");
    world.answers(held.on);
    World.Try next = world.send(1, false);
    allComeUp(world);
    assertThat(next.on).isNotNull();
  }

  @Test
  void whatWaitsForRoomAmongAllThatComeUpIsNotForgotten() {
    World world = world(4, 40, 0, 12);
    List<World.Try> tries = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      tries.add(world.send(i, false));
    }
    assertThat(world.toOpen).as("no more than may come up").hasSize(8);
    while (!world.toOpen.isEmpty()) {
      world.fails(world.toOpen.get(0), true);
    }
    assertThat(tries).allMatch(one -> "unreachable".equals(one.end));
  }

  @Test
  void anotherAddressOrAStartEndsWhatIsOlder() {
    World world = world(2, 20, 0, 1);
    World.Try first = world.send(0, false);
    allComeUp(world);
    world.pools.listed(0, true, Long.MIN_VALUE);
    World.Try second = world.send(0, false);
    assertThat(second.on).isNull();
    allComeUp(world);
    assertThat(second.on).isNotNull().isNotSameAs(first.on);
    world.answers(first.on);
    assertThat(first.on.closing).isTrue();
    World.Conn before = second.on;
    world.answers(before);
    world.now += 1000 * MS;
    world.pools.listed(0, false, world.now - 10 * MS);
    assertThat(before.closing).as("older than the process").isTrue();
    // One that comes up late, of an address that was left meanwhile, is not used.
    World.Try third = world.send(0, false);
    World.Conn late = world.toOpen.get(0);
    world.pools.listed(0, true, Long.MIN_VALUE);
    world.comesUp(late);
    assertThat(late.closing).isTrue();
    world.reap();
    allComeUp(world);
    assertThat(third.on).isNotNull();
  }

  @Test
  void spareOnesAreKeptReadyButNotAtAColdServerNorPastTheLimit() {
    World world = world(4, 20, 1, 2);
    World.Try first = world.send(0, false);
    assertThat(world.toOpen).hasSize(2);
    allComeUp(world);
    World.Try second = world.send(0, false);
    assertThat(second.on).as("at once").isNotNull().isNotSameAs(first.on);
    for (int i = 0; i < 6; i++) {
      allComeUp(world);
      world.send(0, false);
    }
    assertThat(world.up(0)).isEqualTo(4);
    world.pools.listed(1, false, world.now - 100 * MS);
    world.send(1, false);
    assertThat(world.toOpen).as("cold: one for the attempt, none ahead").hasSize(1);
  }

  @Test
  void busyAsAConnectionsFirstAnswerIsAShutDoor() {
    World world = world(4, 40, 0, 2);
    World.Try first = world.send(0, false);
    allComeUp(world);
    World.Try second = world.send(0, false);
    allComeUp(world);
    assertThat(second.on).isNotSameAs(first.on);
    world.answers(first.on);
    world.turnsAway(second.on);
    world.reap();
    assertThat(world.up()).as("it would hear nothing else there").containsExactly(first.on);
    World.Try third = world.send(0, false);
    World.Try fourth = world.send(0, false);
    allComeUp(world);
    assertThat(third.on).isSameAs(first.on);
    assertThat(fourth.on).as("not at once one more beyond the limit").isSameAs(first.on);
    // Later it may be busy with work: the connection is as good as ever.
    world.turnsAway(first.on);
    world.reap();
    assertThat(world.up()).containsExactly(first.on);
  }

  @Test
  void whereDoorsAreShutFreeConnectionsGoRound() {
    World world = world(1, 40, 0, 2);
    World.Try kept = world.send(1, false);
    allComeUp(world);
    world.answers(kept.on);
    for (int i = 0; i < 20; i++) {
      World.Try shut = world.send(0, false);
      allComeUp(world);
      world.turnsAway(shut.on);
      world.reap();
    }
    world.now += 200 * MS;
    world.pools.tick(world.now);
    world.reap();
    assertThat(world.up()).containsExactly(kept.on);
    world.now += 200 * MS;
    world.pools.tick(world.now);
    world.reap();
    assertThat(world.up()).as("five seconds, were there room for all").isEmpty();
  }

  @Test
  void manyNodesKeepTheirPartOfFreeConnectionsAndThoseInUseLongestAgoEnd() {
    World world = new World(World.settings(2, 40, 0, 0.3), new Random(1));
    for (int server = 0; server < 10; server++) {
      world.pools.listed(server, false, Long.MIN_VALUE);
    }
    List<World.Try> all = new ArrayList<>();
    for (int server = 0; server < 10; server++) {
      all.add(world.send(server, false));
      allComeUp(world);
    }
    assertThat(world.up()).as("what is under way is none of them").hasSize(10);
    for (World.Try one : all) {
      world.now += 20 * MS;
      world.answers(one.on);
    }
    world.pools.tick(world.now);
    world.reap();
    assertThat(world.up()).extracting(conn -> conn.server).containsExactlyInAnyOrder(7L, 8L, 9L);
    // One that is free is used, and one more makes room for itself.
    World.Try known = world.send(7, false);
    assertThat(known.on).isSameAs(all.get(7).on);
    world.answers(known.on);
    world.now += 20 * MS;
    World.Try other = world.send(1, false);
    world.reap();
    allComeUp(world);
    assertThat(other.on).isNotNull();
    assertThat(world.up()).extracting(conn -> conn.server).containsExactlyInAnyOrder(7L, 9L, 1L);
    // A list that shrinks leaves less to keep, one connection at the least.
    world.answers(other.on);
    for (int server = 2; server < 10; server++) {
      if (server != 7) {
        world.pools.left(server);
      }
    }
    world.pools.tick(world.now);
    world.reap();
    assertThat(world.up()).extracting(conn -> conn.server).containsExactly(1L);
  }

  @Test
  void settingsAreCheckedWholeAndTheLastGoodOnesStay() {
    World world = world(4, 20, 0, 1);
    PoolSettings bad = new PoolSettings(0, -1, -1, 4, 0, 1, 1, 0, 0, 1, 0, 1, 0);
    assertThat(bad.faults())
        .containsExactly(
            "connections must be at least 1",
            "leaving must not be negative",
            "streaming must not be negative",
            "sockets must be at least 1",
            "spare must be under connections, which is 0",
            "free_each must be above 0");
    assertThatThrownBy(() -> world.pools.use(bad)).hasMessageContaining("sockets");
    for (int i = 0; i < 4; i++) {
      world.send(0, false);
      allComeUp(world);
    }
    assertThat(world.up()).hasSize(4);
    world.pools.use(World.settings(1, 20, 0, 4));
    List.copyOf(world.up()).forEach(world::answers);
    world.pools.tick(world.now);
    world.reap();
    assertThat(world.up()).hasSize(3);
  }

  /** Long random orders of all that can happen; {@link World} checks each decision. */
  @Property(tries = 300, seed = "20261201")
  void noOrderOfEventsBreaksWhatMustHold(@ForAll long seed) {
    Random random = new Random(seed);
    World world =
        new World(World.settings(1 + random.nextInt(6), 3 + random.nextInt(12), 0), random);
    int servers = 1 + random.nextInt(4);
    for (int i = 0; i < servers; i++) {
      world.pools.listed(i, false, Long.MIN_VALUE);
      world.limits.put((long) i, 1 + random.nextInt(6));
    }
    List<World.Try> all = new ArrayList<>();
    for (int step = 0; step < 600; step++) {
      world.now += random.nextInt(40) * MS;
      List<World.Conn> busy = world.up().stream().filter(c -> !c.out.isEmpty()).toList();
      long server = random.nextInt(servers);
      switch (random.nextInt(14)) {
        case 0, 1, 2, 3 -> all.add(world.send(server, random.nextInt(4) == 0));
        case 4, 5 -> {
          if (!world.toOpen.isEmpty()) {
            world.comesUp(world.toOpen.get(random.nextInt(world.toOpen.size())));
          }
        }
        case 6, 7, 8 -> {
          if (!busy.isEmpty()) {
            World.Conn conn = busy.get(random.nextInt(busy.size()));
            if (random.nextInt(4) == 0 && !conn.streams && !conn.out.peek().abandoned) {
              world.begins(conn);
            } else {
              world.answers(conn);
            }
          }
        }
        case 9 -> {
          if (!world.open.isEmpty()) {
            List<World.Try> open = List.copyOf(world.open);
            World.Try one = open.get(random.nextInt(open.size()));
            // One whose answer has begun no longer has a time limit.
            if (one.on == null || !one.on.streams || one.on.out.peek() != one) {
              world.timesOut(one);
            }
          }
        }
        case 10 -> {
          if (!world.up().isEmpty()) {
            world.breaks(world.up().get(random.nextInt(world.up().size())));
          }
        }
        case 11 -> {
          if (!world.toOpen.isEmpty()) {
            world.fails(world.toOpen.get(0), random.nextBoolean());
          }
        }
        case 12 -> {
          world.pools.tick(world.now);
          world.reap();
        }
        default -> {
          switch (random.nextInt(4)) {
            case 0 -> world.pools.listed(server, true, Long.MIN_VALUE);
            case 1 -> world.pools.listed(server, false, world.now - 5 * MS);
            case 2 -> world.limits.put(server, 1 + random.nextInt(6));
            default -> {
              world.pools.left(server);
              world.pools.listed(server, false, Long.MIN_VALUE);
            }
          }
        }
      }
      assertThat(world.pools.sockets())
          .isEqualTo((int) world.conns.values().stream().filter(c -> !c.closing).count());
    }
    // Once all that is out is told, every attempt has its end and every socket is given back.
    for (int i = 0; i < 100 && !(world.open.isEmpty() && world.toOpen.isEmpty()); i++) {
      world.now += 10 * MS;
      List.copyOf(world.open)
          .forEach(
              one -> {
                if (one.end == null) {
                  world.timesOut(one);
                }
              });
      while (!world.toOpen.isEmpty()) {
        world.fails(world.toOpen.get(0), false);
      }
      world.reap();
    }
    List.copyOf(world.conns.values()).forEach(world::breaks);
    while (!world.toOpen.isEmpty()) {
      world.fails(world.toOpen.get(0), false);
    }
    assertThat(all).allMatch(one -> one.end != null, "has an end");
    assertThat(world.pools.sockets()).isZero();
  }

  /** From idle to full load: no server is asked for more than once beyond a limit it has shown. */
  @Property(tries = 100, seed = "20261202")
  void aSurgeStaysWithinTheLimits(@ForAll long seed) {
    Random random = new Random(seed);
    World world = new World(World.settings(6, 40, 0), random);
    for (int i = 0; i < 6; i++) {
      world.pools.listed(i, false, Long.MIN_VALUE);
      world.limits.put((long) i, 2 + random.nextInt(4));
    }
    for (int i = 0; i < 400; i++) {
      world.now += MS / 4;
      world.send(random.nextInt(6), random.nextInt(10) == 0);
      if (random.nextInt(3) == 0 && !world.toOpen.isEmpty()) {
        world.comesUp(world.toOpen.get(0));
      }
      for (World.Conn conn : List.copyOf(world.up())) {
        if (!conn.out.isEmpty() && random.nextInt(8) == 0) {
          world.answers(conn);
        }
      }
    }
    while (!world.toOpen.isEmpty()) {
      world.comesUp(world.toOpen.get(0));
    }
    for (long server = 0; server < 6; server++) {
      assertThat(world.up(server)).isLessThanOrEqualTo(world.limits.get(server));
    }
    // Those that were under way together when the limit showed, and a try again in 0.1 s.
    assertThat(world.refused).isLessThanOrEqualTo(6 * (world.settings.openingEach() + 1));
    assertThat(world.mostSockets).isLessThanOrEqualTo(40);
  }
}
