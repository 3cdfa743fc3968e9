package beamspread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.model.Hashes;
import beamspread.model.MembershipUpdate;
import beamspread.model.ServerEntry;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the choice of servers: the key's first owner, jumps past full servers, the fallback. */
class ServerChoiceTest {
  private static List<Long> sends(BalancerFixtures.Recorder actions) {
    return actions.ofKind("send").stream().map(BalancerFixtures.Action::number).toList();
  }

  private static Balancer balancer(BalancerFixtures.Recorder actions, long seed) {
    return new Balancer(BalancerFixtures.settings(false, 4, true), seed, actions);
  }

  @Test
  void aKeyJumpsToItsNextOwnerIfOneIsAtItsCap() {
    BalancerFixtures.Recorder actions = new BalancerFixtures.Recorder();
    Balancer balancer = balancer(actions, 1);
    balancer.onMembershipUpdate(100, BalancerFixtures.cachedList(10));
    SlotTable table = new SlotTable(128);
    List<ServerHealth> servers = new ArrayList<>();
    for (long id = 1; id <= 10; id++) {
      servers.add(
          new ServerHealth(
              BalancerFixtures.server(id), 100, BalancerFixtures.settings(false, 4, true)));
    }
    table.rebuild(servers, false);
    long hash = Hashes.of("k");
    List<Long> expected = new ArrayList<>();
    // Writes are never held for a fetch. With 4 balancers the floor is 3, and 1.25 * 10 / 10 < 3.
    for (int attempt = 0; expected.size() < 6; attempt++) {
      long owner = table.owner(hash, attempt).id;
      if (!expected.contains(owner)) {
        expected.addAll(List.of(owner, owner, owner));
      }
    }
    for (int i = 0; i < 6; i++) {
      balancer.onRequest(100, BalancerFixtures.request("w" + i, "k", "unsafe", 1));
    }
    assertEquals(expected, sends(actions));
  }

  @Test
  void sendsToTheLeastLoadedIfAllServersAreAtTheirCap() {
    BalancerFixtures.Recorder actions = new BalancerFixtures.Recorder();
    Balancer balancer = balancer(actions, 1);
    balancer.onMembershipUpdate(100, BalancerFixtures.cachedList(2));
    for (int i = 0; i < 500; i++) {
      balancer.onRequest(100, BalancerFixtures.request("w" + i, "k" + i, "unsafe", 1));
    }
    assertEquals(500, sends(actions).size());
    long sendsToFirst = sends(actions).stream().filter(id -> id == 1).count();
    assertTrue(sendsToFirst > 150 && sendsToFirst < 350, "sends to one of two: " + sendsToFirst);
  }

  @Test
  void ownersDependOnlyOnTheListAndNotOnItsUpdates() {
    BalancerFixtures.Recorder fullListActions = new BalancerFixtures.Recorder();
    Balancer fullListBalancer = balancer(fullListActions, 1);
    fullListBalancer.onMembershipUpdate(100, BalancerFixtures.cachedList(9));
    BalancerFixtures.Recorder changesActions = new BalancerFixtures.Recorder();
    Balancer changesBalancer = balancer(changesActions, 2);
    changesBalancer.onMembershipUpdate(100, BalancerFixtures.cachedList(4));
    for (long id = 12; id >= 5; id--) {
      changesBalancer.onMembershipUpdate(
          100,
          BalancerFixtures.update(
              MembershipUpdate.Kind.CHANGES, List.of(BalancerFixtures.server(id))));
    }
    for (long id = 10; id <= 12; id++) {
      changesBalancer.onMembershipUpdate(
          100,
          BalancerFixtures.update(
              MembershipUpdate.Kind.CHANGES,
              List.of(BalancerFixtures.server(id, ServerEntry.State.GONE, 0))));
    }
    for (int i = 0; i < 20; i++) {
      fullListBalancer.onRequest(100, BalancerFixtures.request("w" + i, "k" + i, "unsafe", 1));
      changesBalancer.onRequest(100, BalancerFixtures.request("w" + i, "k" + i, "unsafe", 1));
    }
    assertEquals(sends(fullListActions), sends(changesActions));
  }
}
