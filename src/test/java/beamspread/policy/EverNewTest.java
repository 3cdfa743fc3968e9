package beamspread.policy;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.RetainedSizes;
import beamspread.model.MembershipUpdate;
import beamspread.model.Outcome;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What a balancer keeps of requests, keys and servers that never come again. */
class EverNewTest {
  private static final int SERVERS = 20;

  /** Keys remembered at most, as OriginGuard says. */
  private static final int MEMORY = 1 << 15;

  private final Rig.Recorder actions = new Rig.Recorder();
  private final Balancer balancer =
      new Balancer(Rig.settings(4, Settings.Spread.USUAL), 1, actions);

  /** Requests for ever new keys at 500 a second; each attempt ends at once, some in no answer. */
  private double requests(double from, int count, SplittableRandom random) {
    double now = from;
    for (int i = 0; i < count; i++) {
      now += 0.002;
      String id = now + "-" + i;
      balancer.request(now, Rig.request(id, "key" + id, i % 7 == 0 ? "unsafe" : "safe", 1));
      for (int done = 0; done < actions.acts.size(); done++) {
        Rig.Act act = actions.acts.get(done);
        if (act.what().equals("send")) {
          Outcome.Result[] ends = {
            Outcome.Result.OK,
            Outcome.Result.OK,
            Outcome.Result.OK,
            Outcome.Result.ERROR,
            Outcome.Result.FULL,
            Outcome.Result.CONNECT_FAILED
          };
          Outcome.Result end = ends[random.nextInt(ends.length)];
          int attempt =
              (int)
                  actions.acts.subList(0, done).stream()
                      .filter(one -> one.what().equals("send"))
                      .count();
          balancer.outcome(
              now,
              new Outcome(
                  act.id(), attempt, act.number(), end, 0.05, false, Outcome.Note.MISS, null));
        }
      }
      actions.acts.clear();
    }
    return now;
  }

  private void list(double now, long first) {
    List<ServerEntry> entries = new ArrayList<>();
    for (long id = first; id < first + SERVERS; id++) {
      entries.add(Rig.server(id));
    }
    balancer.membership(now, new MembershipUpdate(MembershipUpdate.Kind.FULL, first, entries));
  }

  @Test
  void everNewKeysAndServersLeaveNoMoreThanIsRememberedOnPurpose() {
    SplittableRandom random = new SplittableRandom(20261201);
    double now = 100;
    long first = 1;
    list(now, first);
    for (int round = 0; round < 500; round++) {
      now = requests(now, 100, random);
      first += SERVERS;
      list(now, first);
    }
    // Ten thousand servers by now, and fifty thousand keys.
    Map<String, Integer> after = RetainedSizes.maxSizesByOwner(balancer);
    assertThat(after.get("OriginGuard.answeredAt")).isLessThanOrEqualTo(MEMORY);
    assertThat(after.get("MembershipFeed.servers")).isEqualTo(SERVERS);
    after.forEach(
        (name, size) -> {
          if (!name.equals("OriginGuard.answeredAt")) {
            assertThat(size).as("%s of %s", name, after).isLessThanOrEqualTo(128);
          }
        });
    assertThat(after.keySet())
        .as("a place that holds something must not be missed")
        .containsAll(List.of("OriginGuard.flights", "Balancer.bySerial", "Balancer.pending"));
  }
}
