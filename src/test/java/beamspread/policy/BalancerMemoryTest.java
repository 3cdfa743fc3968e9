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

/** Bounds the memory that a balancer keeps of requests, keys and servers that don't recur. */
class BalancerMemoryTest {
  private static final int SERVERS = 20;

  /** The limit on remembered keys in {@link OriginGuard}. */
  private static final int MAX_REMEMBERED_PAIRS = 1 << 15;

  private final BalancerFixtures.Recorder actions = new BalancerFixtures.Recorder();
  private final Balancer balancer =
      new Balancer(BalancerFixtures.settings(4, Settings.Spread.DEFAULT), 1, actions);

  /** Sends requests for new keys at 500 per second; each attempt ends at once, some in failure. */
  private double sendRequests(double from, int count, SplittableRandom random) {
    double now = from;
    for (int i = 0; i < count; i++) {
      now += 0.002;
      String id = now + "-" + i;
      balancer.onRequest(
          now, BalancerFixtures.request(id, "key" + id, i % 7 == 0 ? "unsafe" : "safe", 1));
      for (int done = 0; done < actions.recorded.size(); done++) {
        BalancerFixtures.Action action = actions.recorded.get(done);
        if (action.kind().equals("send")) {
          Outcome.Result[] results = {
            Outcome.Result.OK,
            Outcome.Result.OK,
            Outcome.Result.OK,
            Outcome.Result.ERROR,
            Outcome.Result.FULL,
            Outcome.Result.CONNECT_FAILED
          };
          Outcome.Result result = results[random.nextInt(results.length)];
          int attempt =
              (int)
                  actions.recorded.subList(0, done).stream()
                      .filter(one -> one.kind().equals("send"))
                      .count();
          balancer.onOutcome(
              now,
              new Outcome(
                  action.requestId(),
                  attempt,
                  action.number(),
                  result,
                  0.05,
                  false,
                  Outcome.Note.MISS,
                  null));
        }
      }
      actions.recorded.clear();
    }
    return now;
  }

  private void applyList(double now, long firstId) {
    List<ServerEntry> entries = new ArrayList<>();
    for (long id = firstId; id < firstId + SERVERS; id++) {
      entries.add(BalancerFixtures.server(id));
    }
    balancer.onMembershipUpdate(
        now, new MembershipUpdate(MembershipUpdate.Kind.FULL, firstId, entries));
  }

  @Test
  void memoryStaysBoundedForNewKeysAndServers() {
    SplittableRandom random = new SplittableRandom(20261201);
    double now = 100;
    long firstId = 1;
    applyList(now, firstId);
    for (int round = 0; round < 500; round++) {
      now = sendRequests(now, 100, random);
      firstId += SERVERS;
      applyList(now, firstId);
    }
    // The balancer has seen 10,000 servers and 50,000 keys.
    Map<String, Integer> after = RetainedSizes.maxSizesByOwner(balancer);
    assertThat(after.get("OriginGuard.answeredAt")).isLessThanOrEqualTo(MAX_REMEMBERED_PAIRS);
    assertThat(after.get("MembershipFeed.servers")).isEqualTo(SERVERS);
    after.forEach(
        (name, size) -> {
          if (!name.equals("OriginGuard.answeredAt")) {
            assertThat(size).as("%s of %s", name, after).isLessThanOrEqualTo(128);
          }
        });
    assertThat(after.keySet())
        .as("collections that the search must find")
        .containsAll(
            List.of(
                "OriginGuard.followersByPair", "Balancer.pendingBySerial", "Balancer.pendingById"));
  }
}
