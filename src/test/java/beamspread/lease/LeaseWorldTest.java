package beamspread.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Owners that compete for one lease on virtual time, with answers that come late or never, owners
 * that are suspended, clocks that differ in rate and by hours, and agents that crash. What must
 * hold is checked after each event, and each of the known mistakes is found.
 */
class LeaseWorldTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final long DURATION = 10 * SECOND;
  private static final long LENGTH = 120 * SECOND;
  private static final String NAME = "rollout/main";
  private static final int SEEDS = 1000;
  private static final int MISTAKEN_SEEDS = 200;

  /** Owners are fewer than this, so that each of their sessions has a number of its own. */
  private static final int SESSIONS = 1000;

  /** Mistakes that an implementation could make. */
  enum Mistake {
    NONE,
    /** A lease counts from when the answer came, with nothing taken off. */
    GRANT_COUNTS_FROM_ANSWER,
    /** An agent refuses the token that it has, not only lower ones. */
    EQUAL_TOKEN_REFUSED,
    /** The highest token is forgotten when an agent crashes. */
    TOKEN_IN_MEMORY_ONLY,
    /** The token is written once the effect is there. */
    TOKEN_WRITTEN_AFTER_EFFECT,
    /** The token is looked at when a call arrives, not when it is carried out. */
    CHECKED_ON_ARRIVAL_ONLY,
    /** A renewal looks at the name alone, and revives what is over at its holder. */
    RENEWAL_REVIVES,
    /** A lease that is given back begins at 1 again. */
    EPOCH_REUSED,
    /** A new owner begins before all agents know of it. */
    AGENTS_NOT_TOLD,
    /** An agent takes a new owner on while a step of an earlier one is under way. */
    STEP_NOT_AWAITED
  }

  /** What is done in the same worlds without a mistake; played once. */
  private static final class HonestWorlds {
    static final long EFFECTS = effects();

    private static long effects() {
      long effects = 0;
      for (int seed = 0; seed < MISTAKEN_SEEDS; seed++) {
        World world = new World(seed, Mistake.NONE);
        world.run();
        effects += world.effects;
      }
      return effects;
    }
  }

  private record Event(long at, long order, Runnable run) {}

  /** The world of one seed. */
  private static final class World {
    final Mistake mistake;
    final SplittableRandom random;
    final PriorityQueue<Event> events =
        new PriorityQueue<>(
            (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    final List<Owner> owners = new ArrayList<>();
    final List<Agent> agents = new ArrayList<>();
    final List<String> broken = new ArrayList<>();
    final long storeOffset;
    long now;
    long order;
    long effects;
    long refusals;
    long highestEffect;

    /** The epochs of the steps that are under way, at whatever agent. */
    final List<Long> underWay = new ArrayList<>();

    // The store.
    boolean held;
    int holder = -1;
    long epoch;
    long expires;

    /** The last epoch that was taken from an owner: until its next step it does not know. */
    long takenOver;

    World(long seed, Mistake mistake) {
      this.mistake = mistake;
      random = new SplittableRandom(seed);
      storeOffset = (random.nextInt(1200) - 600) * SECOND;
      int ownerCount = 2 + random.nextInt(random.nextInt(8) == 0 ? 63 : 10);
      int agentCount = 3 + random.nextInt(random.nextInt(8) == 0 ? 1022 : 10);
      for (int i = 0; i < agentCount; i++) {
        agents.add(new Agent());
      }
      for (int i = 0; i < ownerCount; i++) {
        owners.add(new Owner(this, i));
      }
    }

    void in(long delay, Runnable run) {
      events.add(new Event(now + Math.max(0, delay), order++, run));
    }

    /** The way of a message: mostly short, at times very long. */
    long way() {
      return random.nextInt(20) == 0 ? random.nextLong(40 * SECOND) : random.nextLong(200 * MS);
    }

    boolean lost() {
      return random.nextInt(12) == 0;
    }

    long storeClock() {
      return now + storeOffset;
    }

    /** As the record's store does it; the epoch, 0 if it is somebody else's. */
    long acquire(int owner, boolean takeOver) {
      boolean current = held && storeClock() < expires;
      if (current && holder == owner) {
        expires = storeClock() + DURATION;
        return epoch;
      }
      if (current && !takeOver) {
        return 0;
      }
      takenOver = current ? epoch : takenOver;
      held = true;
      holder = owner;
      epoch++;
      expires = storeClock() + DURATION;
      return epoch;
    }

    boolean renew(int owner, long its) {
      if (mistake == Mistake.RENEWAL_REVIVES) {
        return held;
      }
      boolean same = holder == owner && epoch == its;
      if (!held || !same || storeClock() >= expires) {
        return false;
      }
      expires = storeClock() + DURATION;
      return true;
    }

    void release(int owner, long its) {
      if (held && holder == owner && epoch == its) {
        held = false;
        if (mistake == Mistake.EPOCH_REUSED) {
          epoch = 0;
        }
      }
    }

    void run() {
      owners.forEach(owner -> in(random.nextLong(2 * SECOND), owner::tick));
      for (Event next = events.poll(); next != null && next.at < LENGTH; next = events.poll()) {
        now = next.at;
        next.run.run();
        long working = owners.stream().filter(Owner::owns).count();
        if (working > 1) {
          broken.add(working + " owners at " + now / MS + " ms");
        }
      }
    }
  }

  /** Who wants the lease, works under it, and may be suspended. */
  private static final class Owner {
    final World world;
    final int id;
    final double rate;
    final long offset;
    final LeaseHolder holder = new LeaseHolder(DURATION);

    /** What the store knows it by; another one after each release, whose message may come late. */
    int session;

    long suspendedUntil;
    boolean asking;

    /** The agents that know of its present epoch. */
    final Set<Agent> aware = new HashSet<>();

    Owner(World world, int id) {
      this.world = world;
      this.id = id;
      session = id;
      rate = 0.99 + world.random.nextDouble() * 0.02;
      offset = world.random.nextLong(1_000 * SECOND);
    }

    long clock() {
      return offset + (long) (world.now * rate);
    }

    /** Whether it would begin something now, if it ran. */
    boolean holds() {
      return holder.holds(clock());
    }

    /** Whether it is the only one that may believe so. */
    boolean owns() {
      return holds() && holder.token().epoch() > world.takenOver;
    }

    /** Runs a step of it, later if it is suspended. */
    void when(Runnable step) {
      if (world.now < suspendedUntil) {
        world.in(suspendedUntil - world.now, () -> when(step));
      } else {
        step.run();
      }
    }

    void tick() {
      if (world.random.nextInt(25) == 0) {
        suspendedUntil = world.now + world.random.nextLong(35 * SECOND);
      }
      when(this::act);
      world.in(300 * MS + world.random.nextLong(SECOND), this::tick);
    }

    void act() {
      if (holds()) {
        if (clock() - holder.renewAt() > 0) {
          renew();
        }
        if (aware.size() == world.agents.size() || world.mistake == Mistake.AGENTS_NOT_TOLD) {
          work();
        } else {
          announce();
        }
        if (world.random.nextInt(15) == 0) {
          long its = holder.token().epoch();
          int gives = session;
          holder.lost();
          session += SESSIONS;
          world.in(world.way(), () -> world.release(gives, its));
        }
      } else if (!asking) {
        ask();
      }
    }

    void ask() {
      asking = true;
      long askedAt = clock();
      int asks = session;
      boolean takeOver = world.random.nextInt(40) == 0;
      world.in(
          world.way(),
          () -> {
            long epoch = world.acquire(asks, takeOver);
            boolean lost = world.lost();
            world.in(
                world.way(),
                () ->
                    when(
                        () -> {
                          asking = false;
                          if (epoch > 0 && !lost) {
                            boolean late = world.mistake == Mistake.GRANT_COUNTS_FROM_ANSWER;
                            long from = late ? clock() + DURATION / 5 : askedAt;
                            holder.granted(new FencingToken(NAME, epoch), from);
                            aware.clear();
                          }
                        }));
          });
    }

    void renew() {
      long askedAt = clock();
      long its = holder.token().epoch();
      int asks = session;
      world.in(
          world.way(),
          () -> {
            boolean renewed = world.renew(asks, its);
            if (!world.lost()) {
              world.in(
                  world.way(),
                  () ->
                      when(
                          () -> {
                            if (holder.token().epoch() != its) {
                              return;
                            }
                            if (renewed && world.mistake == Mistake.RENEWAL_REVIVES) {
                              holder.granted(holder.token(), askedAt);
                            } else if (renewed) {
                              holder.renewed(askedAt, clock());
                            } else {
                              holder.lost();
                            }
                          }));
            }
          });
    }

    /** Tells all agents that have not said that they know. */
    void announce() {
      FencingToken token = holder.token();
      for (Agent agent : world.agents) {
        if (!aware.contains(agent)) {
          world.in(world.way(), () -> announced(agent, token));
        }
      }
    }

    private void announced(Agent agent, FencingToken token) {
      if (!agent.learns(world, token) || world.lost()) {
        return;
      }
      world.in(
          world.way(),
          () ->
              when(
                  () -> {
                    if (token.equals(holder.token())) {
                      aware.add(agent);
                    }
                  }));
    }

    void work() {
      FencingToken token = holder.token();
      Agent agent = world.agents.get(world.random.nextInt(Math.min(3, world.agents.size())));
      world.in(world.way(), () -> agent.arrives(world, token));
    }
  }

  /** Who carries work out. */
  private static final class Agent {
    FencingTokens tokens = new FencingTokens(Map.of());
    Map<String, Long> disk = new HashMap<>();
    final List<Long> underWay = new ArrayList<>();

    /** A new owner is shown; whether it may begin, as far as this agent is concerned. */
    boolean learns(World world, FencingToken token) {
      if (refuses(world, token)) {
        return false;
      }
      keep(world, token);
      return world.mistake == Mistake.STEP_NOT_AWAITED
          || underWay.stream().allMatch(epoch -> epoch >= token.epoch());
    }

    private void keep(World world, FencingToken token) {
      if (tokens.isNew(token)) {
        tokens.saw(token);
        if (world.mistake != Mistake.TOKEN_IN_MEMORY_ONLY
            && world.mistake != Mistake.TOKEN_WRITTEN_AFTER_EFFECT) {
          disk = new HashMap<>(tokens.all());
        }
      }
    }

    void arrives(World world, FencingToken token) {
      if (world.random.nextInt(30) == 0) {
        crash(world);
      }
      if (refuses(world, token)) {
        world.refusals++;
        return;
      }
      // Its record is read before it acts, which takes a while.
      world.in(world.random.nextLong(3 * SECOND), () -> acts(world, token));
    }

    boolean refuses(World world, FencingToken token) {
      try {
        tokens.check(token);
      } catch (StaleTokenException e) {
        return true;
      }
      return world.mistake == Mistake.EQUAL_TOKEN_REFUSED && !tokens.isNew(token);
    }

    void acts(World world, FencingToken token) {
      boolean looks = world.mistake != Mistake.CHECKED_ON_ARRIVAL_ONLY;
      if (looks && refuses(world, token)) {
        world.refusals++;
        return;
      }
      keep(world, token);
      judge(world, token.epoch());
      begin(world, token.epoch());
      world.effects++;
      if (world.mistake == Mistake.TOKEN_WRITTEN_AFTER_EFFECT) {
        if (world.random.nextInt(4) == 0) {
          crash(world);
        } else {
          disk = new HashMap<>(tokens.all());
        }
      }
    }

    private static void judge(World world, long epoch) {
      if (epoch < world.highestEffect) {
        world.broken.add("effect of " + epoch + " after one of " + world.highestEffect);
      }
      world.highestEffect = Math.max(world.highestEffect, epoch);
      for (long other : world.underWay) {
        if (other < epoch) {
          world.broken.add("effect of " + epoch + " while one of " + other + " is under way");
        }
      }
    }

    /** A step goes on for a while, whatever becomes of its owner and of the agent. */
    private void begin(World world, long epoch) {
      underWay.add(epoch);
      world.underWay.add(epoch);
      world.in(
          world.random.nextLong(3 * SECOND),
          () -> {
            underWay.remove(epoch);
            world.underWay.remove(epoch);
          });
    }

    void crash(World world) {
      tokens = new FencingTokens(disk);
    }
  }

  @Test
  void effectsComeInTheOrderOfTheTokensWhateverIsLateSuspendedOrCrashed() {
    long effects = 0;
    long refusals = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      World world = new World(seed, Mistake.NONE);
      world.run();
      assertThat(world.broken).as("seed %d", seed).isEmpty();
      effects += world.effects;
      refusals += world.refusals;
    }
    System.out.printf("%d worlds: %d effects, %d stale calls refused%n", SEEDS, effects, refusals);
    assertThat(effects).isGreaterThan(20L * SEEDS);
    assertThat(refusals).as("or nothing was proved").isGreaterThan(SEEDS);
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void eachMistakeIsFound(Mistake mistake) {
    int found = 0;
    long effects = 0;
    for (int seed = 0; seed < MISTAKEN_SEEDS; seed++) {
      World world = new World(seed, mistake);
      world.run();
      found += world.broken.isEmpty() ? 0 : 1;
      effects += world.effects;
    }
    System.out.printf(
        "%s: broken in %d of %d worlds, %d effects%n", mistake, found, MISTAKEN_SEEDS, effects);
    // Either an order is broken, or the work is not done.
    assertThat(found > 0 || effects < HonestWorlds.EFFECTS / 2).isTrue();
  }
}
