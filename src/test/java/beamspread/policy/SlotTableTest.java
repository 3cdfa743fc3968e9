package beamspread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.model.Hashes;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class SlotTableTest {
  private static ServerHealth server(long id) {
    return new ServerHealth(
        BalancerFixtures.server(id), 0, BalancerFixtures.settings(false, 4, true));
  }

  private static long[] owners(List<ServerHealth> servers) {
    SlotTable table = new SlotTable(128);
    table.rebuild(servers, false);
    long[] owners = new long[20_000];
    for (int i = 0; i < owners.length; i++) {
      owners[i] = table.owner(Hashes.of("key" + i), 0).id;
    }
    return owners;
  }

  @Test
  void changesMoveOnlyTheSlotsOfTheChangedServer() {
    Random random = new Random(7);
    List<ServerHealth> servers = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      servers.add(server(random.nextInt(1 << 30)));
    }
    long[] before = owners(servers);
    for (int change = 0; change < 30; change++) {
      long id;
      boolean added = random.nextBoolean() || servers.size() < 5;
      if (added) {
        id = random.nextInt(1 << 30);
        servers.add(server(id));
      } else {
        id = servers.remove(random.nextInt(servers.size())).id;
      }
      long[] after = owners(servers);
      int moved = 0;
      for (int i = 0; i < before.length; i++) {
        if (before[i] != after[i]) {
          moved++;
          assertEquals(id, added ? after[i] : before[i]);
        }
      }
      int size = added ? servers.size() : servers.size() + 1;
      assertTrue(moved <= 1.6 * before.length / size, moved + " keys moved of a fair share");
      before = after;
    }
  }

  @Test
  void ownersDoNotDependOnTheOrderOfServers() {
    List<ServerHealth> servers = new ArrayList<>();
    for (long id = 1; id <= 30; id++) {
      servers.add(server(id * 7919));
    }
    long[] one = owners(servers);
    Collections.shuffle(servers, new Random(3));
    long[] other = owners(servers);
    for (int i = 0; i < one.length; i++) {
      assertEquals(one[i], other[i]);
    }
  }

  @Test
  void distributesKeysEvenly() {
    List<ServerHealth> servers = new ArrayList<>();
    for (long id = 1; id <= 25; id++) {
      servers.add(server(id * 104729));
    }
    int[] count = new int[26];
    long[] owners = owners(servers);
    for (long owner : owners) {
      count[(int) (owner / 104729)]++;
    }
    for (int i = 1; i <= 25; i++) {
      double share = count[i] * 25.0 / owners.length;
      assertTrue(share > 0.65 && share < 1.4, "share of a fair one: " + share);
    }
  }

  @Test
  void hasNoOwnerWithoutServers() {
    SlotTable table = new SlotTable(128);
    table.rebuild(List.of(), true);
    assertNull(table.owner(5, 0));
  }
}
