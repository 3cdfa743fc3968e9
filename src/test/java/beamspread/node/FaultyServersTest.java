package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.LeakCheck;
import beamspread.node.client.ClientConnections;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/** Cache servers that respond, but with faults that must not affect the others. */
@ExtendWith(LeakCheck.class)
class FaultyServersTest {
  private static final ClientConnections.Limits CLIENT_LIMITS =
      ClientConnections.Limits.defaults(150);

  private static boolean reached(String id, Peers.Server... servers) {
    return Stream.of(servers)
        .anyMatch(server -> server.lines.stream().anyMatch(line -> line.contains(" O" + id + " ")));
  }

  @Test
  void refusingServerDoesNotBlockFetchesFromOthers() throws Exception {
    try (Peers.Server bad = new Peers.Server(line -> "SERVER_ERROR busy\r\n");
        Peers.Server silent = new Peers.Server(line -> null);
        Peers.Server silentToo = new Peers.Server(line -> null);
        Peers.Server silentAsWell = new Peers.Server(line -> null);
        Peers.Rig rig = new Peers.Rig(CLIENT_LIMITS, 512, bad, silent, silentToo, silentAsWell)) {
      List<Peers.Client> clients = new ArrayList<>();
      try {
        int first = 0;
        while (first < 10 || bad.lines.size() < 4) {
          clients.add(rig.client().read("first" + first++));
          int sent = first;
          Peers.await(
              "it is sent somewhere",
              () -> reached("first" + (sent - 1), bad, silent, silentToo, silentAsWell));
          assertTrue(sent < 100);
        }
        for (int i = 0; i < 20; i++) {
          clients.add(rig.client().read("next" + i));
        }
        for (int i = 0; i < 20; i++) {
          String id = "next" + i;
          Peers.await(
              id + " is sent as well", () -> reached(id, bad, silent, silentToo, silentAsWell));
        }
      } finally {
        for (Peers.Client client : clients) {
          client.close();
        }
      }
    }
  }

  @Test
  void retriesRefusedReadsOnOtherServers() throws Exception {
    AtomicInteger reads = new AtomicInteger();
    Function<String, String> half =
        line ->
            reads.getAndIncrement() % 2 == 0 ? "SERVER_ERROR busy\r\n" : Peers.successReply(line);
    try (Peers.Server bad = new Peers.Server(half);
        Peers.Server badToo = new Peers.Server(half);
        Peers.Server good = new Peers.Server(Peers::successReply);
        Peers.Server goodToo = new Peers.Server(Peers::successReply);
        Peers.Rig rig = new Peers.Rig(CLIENT_LIMITS, bad, badToo, good, goodToo);
        Peers.Client client = rig.client()) {
      // More retries than the token bucket for failed attempts would allow.
      for (int i = 0; i < 1000 && reads.get() < 200; i++) {
        assertEquals("VA 5 O" + i, client.read("" + i).readLine());
        client.readLine();
      }
      assertTrue(reads.get() >= 200);
    }
  }

  @Test
  void recoversFromRefusedConnection() throws Exception {
    try (Peers.Server server =
            new Peers.Server(
                line -> {
                  delay();
                  return Peers.successReply(line);
                });
        Peers.Rig rig = new Peers.Rig(CLIENT_LIMITS, server);
        Peers.Client one = rig.client();
        Peers.Client other = rig.client()) {
      assertEquals("VA 5 O1", one.read("1").readLine());
      one.readLine();
      server.stopListening();
      readOnBoth(one, other, "refused");
      Peers.await("one connection is left", () -> server.connections.size() == 1);
      server.resumeListening();
      int[] round = {0};
      Peers.await(
          "a second connection is opened",
          () -> {
            readOnBoth(one, other, "again" + round[0]++);
            return server.connections.size() > 1;
          });
    }
  }

  @Test
  void abandonedConnectionsCountTowardsServerLimit() throws Exception {
    List<Peers.Client> clients = new ArrayList<>();
    try (Peers.Server silent = new Peers.Server(line -> null);
        Peers.Rig rig = new Peers.Rig(CLIENT_LIMITS, silent)) {
      for (int i = 0; i < 12; i++) {
        clients.add(rig.client().read("held" + i));
      }
      Peers.await("all requests are pending at the server", () -> silent.lines.size() == 12);
      for (int i = 0; i < 8; i++) {
        clients.add(write(rig, "short" + i, 100));
      }
      for (Peers.Client client : clients.subList(12, 20)) {
        assertEquals("SERVER_ERROR failed", client.readLine());
      }
      long began = System.nanoTime();
      for (int i = 0; i < 12; i++) {
        clients.add(write(rig, "next" + i, 5000));
      }
      // On a slow machine the decision module may refuse requests by now, and then fewer are sent.
      Peers.await(
          "the next requests are sent",
          () -> silent.lines.size() == 32 || System.nanoTime() - began > 3_000_000_000L);
      int open = silent.connections.size();
      assertTrue(open <= 8, open + " connections");
    } finally {
      for (Peers.Client client : clients) {
        client.close();
      }
    }
  }

  private static Peers.Client write(Peers.Rig rig, String id, int millis) throws IOException {
    return rig.client()
        .send("ms key-" + id + " 5 O" + id + " Pc=put,d=" + millis + "\r\nworld\r\n");
  }

  private static void readOnBoth(Peers.Client one, Peers.Client other, String id) {
    try {
      one.read(id + "a");
      other.read(id + "b");
      for (Peers.Client client : List.of(one, other)) {
        assertTrue(client.readLine().startsWith("VA 5 O" + id));
        client.readLine();
      }
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** Long enough for another request to arrive meanwhile; nothing depends on the length. */
  private static void delay() {
    try {
      Thread.sleep(20);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void retriesReadOnSameServerAfterConnectionLoss() throws Exception {
    List<Peers.Server> servers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      servers.add(new Peers.Server(Peers::successReply));
    }
    try (Peers.Rig rig = new Peers.Rig(CLIENT_LIMITS, servers.toArray(new Peers.Server[0]));
        Peers.Client client = rig.client()) {
      client.read("1").readLine();
      client.readLine();
      Peers.Server home = servers.stream().filter(s -> !s.lines.isEmpty()).findAny().orElseThrow();
      AtomicBoolean broken = new AtomicBoolean();
      home.script =
          line -> {
            if (broken.compareAndSet(false, true)) {
              home.closeConnections();
              return null;
            }
            return Peers.successReply(line);
          };
      client.send("mg key-1 v O2 Pc=read,d=5000\r\n");
      assertEquals("VA 5 O2", client.readLine());
      assertTrue(broken.get());
      assertEquals(3, home.lines.size());
    } finally {
      for (Peers.Server server : servers) {
        server.close();
      }
    }
  }
}
