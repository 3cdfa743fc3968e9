package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.LeakCheck;
import beamspread.node.client.ClientConnections;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/** Many servers with few descriptors, and invalid lists from discovery. */
@ExtendWith(LeakCheck.class)
class ServersTest {
  private static final ClientConnections.Limits CLIENT_LIMITS =
      ClientConnections.Limits.defaults(50);

  private static int open(List<Peers.Server> servers) {
    return servers.stream().mapToInt(server -> server.connections.size()).sum();
  }

  @Test
  void manyServersShareFewDescriptors() throws Exception {
    List<Peers.Server> servers = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      servers.add(new Peers.Server(Peers::successReply));
    }
    try (Peers.Rig rig = new Peers.Rig(CLIENT_LIMITS, 60, servers.toArray(new Peers.Server[0]));
        Peers.Client client = rig.client()) {
      for (int i = 0; i < 200; i++) {
        assertEquals("VA 5 O" + i, client.read("" + i).readLine());
        assertEquals("hello", client.readLine());
      }
      assertTrue(servers.stream().filter(server -> !server.lines.isEmpty()).count() > 12);
      Peers.await(
          "no more connections are kept than the limit for servers", () -> open(servers) <= 12);
    } finally {
      for (Peers.Server server : servers) {
        server.close();
      }
    }
  }

  @Test
  void keepsLastValidListOnInvalidDiscoveryData() throws Exception {
    for (String invalidList :
        List.of(
            "{\"version\":3,\"full\":true}",
            "{\"version\":3,\"full\":true,\"servers\":[7]}",
            "{\"version\":3,\"full\":true,\"servers\":[{\"id\":\"x\",\"state\":\"active\"}]}",
            "{\"version\":3,\"fu",
            "<html>")) {
      AtomicInteger calls = new AtomicInteger();
      String first =
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              + Integer.toHexString(invalidList.length() + 1)
              + "\r\n"
              + invalidList
              + "\n\r\n";
      try (Peers.Server server = new Peers.Server(Peers::successReply);
          Peers.Server discovery =
              new Peers.Server(
                  line ->
                      line.startsWith("GET ")
                          ? calls.getAndIncrement() == 0 ? first : "HTTP/1.1 503 Busy\r\n\r\n"
                          : null);
          Peers.Rig rig = new Peers.Rig(discovery, CLIENT_LIMITS, 256, server);
          Peers.Client client = rig.client()) {
        Peers.await(
            "the full list is requested again",
            () -> discovery.lines.stream().anyMatch(line -> line.contains("?follow=1 ")));
        assertEquals("VA 5 O1", client.read("1").readLine());
      }
    }
  }
}
