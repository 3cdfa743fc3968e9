package beamspread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.model.Hashes;
import beamspread.model.MembershipUpdate;
import beamspread.model.ServerEntry;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The ordinary path: home, jumps past full servers, and its end. */
class JumpsTest {
  private static List<Long> sends(Rig.Recorder actions) {
    return actions.of("send").stream().map(Rig.Act::number).toList();
  }

  private static Balancer balancer(Rig.Recorder actions, long seed) {
    return new Balancer(Rig.settings(false, 4, true), seed, actions);
  }

  @Test
  void aFullHomeSendsTheKeyToItsNextOwner() {
    Rig.Recorder actions = new Rig.Recorder();
    Balancer balancer = balancer(actions, 1);
    balancer.membership(100, Rig.fleet(10));
    SlotTable table = new SlotTable(128);
    List<ServerHealth> servers = new ArrayList<>();
    for (long id = 1; id <= 10; id++) {
      servers.add(new ServerHealth(Rig.server(id), 100, Rig.settings(false, 4, true)));
    }
    table.rebuild(servers, false);
    long hash = Hashes.of("k");
    List<Long> want = new ArrayList<>();
    // Writes are never held for a fetch. Four balancers: a floor of 3, and 1.25 * 10 / 10 < 3.
    for (int attempt = 0; want.size() < 6; attempt++) {
      long owner = table.owner(hash, attempt).id;
      if (!want.contains(owner)) {
        want.addAll(List.of(owner, owner, owner));
      }
    }
    for (int i = 0; i < 6; i++) {
      balancer.request(100, Rig.request("w" + i, "k", "unsafe", 1));
    }
    assertEquals(want, sends(actions));
  }

  @Test
  void endsWhenAllServersAreAtTheirCap() {
    Rig.Recorder actions = new Rig.Recorder();
    Balancer balancer = balancer(actions, 1);
    balancer.membership(100, Rig.fleet(2));
    for (int i = 0; i < 500; i++) {
      balancer.request(100, Rig.request("w" + i, "k" + i, "unsafe", 1));
    }
    assertEquals(500, sends(actions).size());
    long first = sends(actions).stream().filter(id -> id == 1).count();
    assertTrue(first > 150 && first < 350, "sends to one of two: " + first);
  }

  @Test
  void sameListByDifferentRoutesGivesTheSameHomes() {
    Rig.Recorder one = new Rig.Recorder();
    Balancer whole = balancer(one, 1);
    whole.membership(100, Rig.fleet(9));
    Rig.Recorder two = new Rig.Recorder();
    Balancer pieces = balancer(two, 2);
    pieces.membership(100, Rig.fleet(4));
    for (long id = 12; id >= 5; id--) {
      pieces.membership(100, Rig.list(MembershipUpdate.Kind.CHANGES, List.of(Rig.server(id))));
    }
    for (long id = 10; id <= 12; id++) {
      pieces.membership(
          100,
          Rig.list(
              MembershipUpdate.Kind.CHANGES, List.of(Rig.server(id, ServerEntry.State.GONE, 0))));
    }
    for (int i = 0; i < 20; i++) {
      whole.request(100, Rig.request("w" + i, "k" + i, "unsafe", 1));
      pieces.request(100, Rig.request("w" + i, "k" + i, "unsafe", 1));
    }
    assertEquals(sends(one), sends(two));
  }
}
