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

/** Many servers, few descriptors, and lists that make no sense. */
@ExtendWith(LeakCheck.class)
class ServersTest {
  private static final ClientConnections.Limits CALM = ClientConnections.Limits.defaults(50);

  private static int open(List<Peers.Server> servers) {
    return servers.stream().mapToInt(server -> server.connections.size()).sum();
  }

  @Test
  void manyShareTheDescriptorsThatThereAre() throws Exception {
    List<Peers.Server> servers = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      servers.add(new Peers.Server(Peers::good));
    }
    try (Peers.Rig rig = new Peers.Rig(CALM, 60, servers.toArray(new Peers.Server[0]));
        Peers.Client client = rig.client()) {
      for (int i = 0; i < 200; i++) {
        assertEquals("VA 5 O" + i, client.read("" + i).line());
        assertEquals("hello", client.line());
      }
      assertTrue(servers.stream().filter(server -> !server.lines.isEmpty()).count() > 12);
      Peers.await("no more than their part are kept", () -> open(servers) <= 12);
    } finally {
      for (Peers.Server server : servers) {
        server.close();
      }
    }
  }

  @Test
  void nonsenseFromDiscoveryKeepsTheLastGoodList() throws Exception {
    for (String nonsense :
        List.of(
            "{\"version\":3,\"full\":true}",
            "{\"version\":3,\"full\":true,\"servers\":[7]}",
            "{\"version\":3,\"full\":true,\"servers\":[{\"id\":\"x\",\"state\":\"active\"}]}",
            "{\"version\":3,\"fu",
            "<html>")) {
      AtomicInteger calls = new AtomicInteger();
      String first =
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              + Integer.toHexString(nonsense.length() + 1)
              + "\r\n"
              + nonsense
              + "\n\r\n";
      try (Peers.Server server = new Peers.Server(Peers::good);
          Peers.Server discovery =
              new Peers.Server(
                  line ->
                      line.startsWith("GET ")
                          ? calls.getAndIncrement() == 0 ? first : "HTTP/1.1 503 Busy\r\n\r\n"
                          : null);
          Peers.Rig rig = new Peers.Rig(discovery, CALM, 256, server);
          Peers.Client client = rig.client()) {
        Peers.await(
            "all is asked for again",
            () -> discovery.lines.stream().anyMatch(line -> line.contains("?follow=1 ")));
        assertEquals("VA 5 O1", client.read("1").line());
      }
    }
  }
}
