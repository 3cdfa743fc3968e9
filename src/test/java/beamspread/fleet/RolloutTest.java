package beamspread.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beamspread.fleet.api.Api;
import beamspread.fleet.api.Kind;
import beamspread.fleet.api.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Batches, bounds and stops of a rollout, and which instances are meant. */
class RolloutTest {
  private static List<Target> targets(int count, int zones) {
    List<Target> targets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      targets.add(new Target("n" + i, "a" + i % 3, "z" + i % zones));
    }
    return targets;
  }

  private static RolloutPlan plan(Kind kind, int count, int zones, RolloutOptions options) {
    return new RolloutPlan(kind, options, targets(count, zones));
  }

  private static List<String> names(List<Target> targets) {
    return targets.stream().map(Target::instance).toList();
  }

  @Test
  void batchesKeepTheBoundsOverAllAndPerZone() {
    List<List<Target>> batches =
        Rollout.batches(plan(Kind.RESTART, 6, 2, new RolloutOptions(4, 3, 1, 500, 1)));
    assertThat(batches.stream().map(RolloutTest::names))
        .containsExactly(List.of("n0", "n1"), List.of("n2", "n3"), List.of("n4", "n5"));
    assertThat(Rollout.batches(plan(Kind.RELOAD, 6, 2, RolloutOptions.usual(Kind.RELOAD, 6))))
        .hasSize(1);
    assertThat(Rollout.batches(plan(Kind.RESTART, 8, 2, RolloutOptions.usual(Kind.RESTART, 8))))
        .hasSize(4);
  }

  @Test
  void thePauseIsCountedFromTheEndOfABatch() {
    Rollout rollout = new Rollout(plan(Kind.RESTART, 2, 1, new RolloutOptions(1, 1, 0, 100, 1)));
    Target first = ((Rollout.Decision.Begin) rollout.next(0)).targets().get(0);
    assertThat(rollout.next(5)).isEqualTo(new Rollout.Decision.Wait(Long.MAX_VALUE));
    rollout.ended(1000, first, Outcome.SUCCEEDED);
    assertThat(rollout.next(1000)).isEqualTo(new Rollout.Decision.Wait(100_001_000));
    assertThat(rollout.next(100_001_000)).isInstanceOf(Rollout.Decision.Begin.class);
  }

  @Test
  void enoughFailuresStopIt() {
    Rollout rollout = new Rollout(plan(Kind.RELOAD, 5, 1, new RolloutOptions(2, 2, 0, 0, 2)));
    for (Target target : ((Rollout.Decision.Begin) rollout.next(0)).targets()) {
      rollout.ended(0, target, Outcome.UNKNOWN);
    }
    Rollout.Decision.Done done = (Rollout.Decision.Done) rollout.next(0);
    assertThat(names(done.skipped())).containsExactly("n2", "n3", "n4");
    assertThat(done.why()).isEqualTo("not begun: stopped after 2 failures");
    assertThat(((Rollout.Decision.Done) rollout.next(0)).skipped()).isEmpty();
  }

  @Test
  void whatDidNotComeBackCountsAsUnavailable() {
    Rollout rollout = new Rollout(plan(Kind.RESTART, 6, 1, new RolloutOptions(2, 2, 0, 0, 0)));
    List<Target> first = ((Rollout.Decision.Begin) rollout.next(0)).targets();
    rollout.ended(0, first.get(0), Outcome.FAILED);
    rollout.ended(0, first.get(1), Outcome.SUCCEEDED);
    List<Target> second = ((Rollout.Decision.Begin) rollout.next(0)).targets();
    assertThat(second).hasSize(1);
    rollout.ended(0, second.get(0), Outcome.UNKNOWN);
    Rollout.Decision.Done done = (Rollout.Decision.Done) rollout.next(0);
    assertThat(done.skipped()).hasSize(3);
    assertThat(done.why()).contains("2 did not come back, and no more may be unavailable");
  }

  /** Whatever comes of each: the bounds hold, and each instance is begun once or told skipped. */
  @Property(tries = 400)
  void boundsHoldAndEachInstanceEndsOnce(@ForAll long seed) {
    Random random = new Random(seed);
    Kind kind = Kind.values()[random.nextInt(4)];
    int most = 1 + random.nextInt(5);
    RolloutOptions options =
        new RolloutOptions(
            1 + random.nextInt(5), most, random.nextInt(3), random.nextInt(50), random.nextInt(4));
    RolloutPlan plan = plan(kind, 1 + random.nextInt(20), 1 + random.nextInt(3), options);
    Rollout rollout = new Rollout(plan);
    Map<Target, Integer> seen = new HashMap<>();
    int failures = 0;
    long now = 0;
    while (true) {
      Rollout.Decision next = rollout.next(now);
      if (next instanceof Rollout.Decision.Done done) {
        done.skipped().forEach(target -> seen.merge(target, 1, Integer::sum));
        break;
      } else if (next instanceof Rollout.Decision.Wait wait) {
        assertThat(wait.untilNanos()).isGreaterThan(now).isNotEqualTo(Long.MAX_VALUE);
        now = wait.untilNanos();
      } else if (next instanceof Rollout.Decision.Begin begin) {
        int down = kind.interrupts() ? failures : 0;
        assertThat(begin.targets().size() + down).isLessThanOrEqualTo(most);
        assertThat(begin.targets()).hasSizeBetween(1, options.batch());
        assertThat(options.stopAfter() == 0 || failures < options.stopAfter()).isTrue();
        Map<String, Integer> zones = new HashMap<>();
        for (Target target : begin.targets()) {
          seen.merge(target, 1, Integer::sum);
          int inZone = zones.merge(target.zone(), 1, Integer::sum);
          assertThat(options.maxPerZone() == 0 || inZone <= options.maxPerZone()).isTrue();
        }
        for (Target target : begin.targets()) {
          boolean good = random.nextInt(4) > 0;
          failures += good ? 0 : 1;
          rollout.ended(now, target, good ? Outcome.SUCCEEDED : Outcome.FAILED);
        }
      }
    }
    assertThat(seen.keySet()).containsExactlyInAnyOrderElementsOf(plan.targets());
    assertThat(seen.values()).containsOnly(1);
  }

  private static Api.InstanceView view(String name, String agent, String zone) {
    return new Api.InstanceView(name, agent, zone, "running", true, 1L, 0, null, 0, null, null, 0);
  }

  @Test
  void selectionsGoByNameGlobZoneAndAgent() throws Exception {
    List<Api.InstanceView> all =
        List.of(
            view("n1", "a1", "east"),
            view("n2", "a1", "west"),
            view("n10", "a2", "east"),
            view("n2", "a2", "west"),
            view("n[3", "a2", "west"));
    assertThat(names(Selection.all().of(all))).containsExactly("n1", "n2", "n10", "n2", "n[3");
    assertThat(names(select(List.of("n1*"), List.of(), List.of()).of(all)))
        .containsExactly("n1", "n10");
    assertThat(names(select(List.of("n?"), List.of("west"), List.of("a2")).of(all)))
        .containsExactly("n2");
    assertThat(names(select(List.of("a2/n2", "n1"), List.of(), List.of()).of(all)))
        .containsExactly("n2", "n1");
    assertThat(names(select(List.of("n[3"), List.of(), List.of()).of(all))).containsExactly("n[3");
    assertThatThrownBy(() -> select(List.of("n2"), List.of(), List.of()).of(all))
        .hasMessage("'n2' stands for [a1/n2, a2/n2]: write AGENT/NAME");
    assertThatThrownBy(() -> select(List.of("n9"), List.of(), List.of()).of(all))
        .hasMessageContaining("no instance 'n9'");
    assertThatThrownBy(() -> select(List.of(), List.of("north"), List.of()).of(all))
        .hasMessageContaining("no instance is chosen");
  }

  private static Selection select(List<String> names, List<String> zones, List<String> agents) {
    return new Selection(names, zones, agents);
  }
}
