package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.LeakCheck;
import beamspread.node.client.ClientConnections;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/** Requests that clients send while the node's event loop is stalled must not be lost. */
@ExtendWith(LeakCheck.class)
class ConnectionCloseTest {
  private static final long SHORT = 100_000_000L;
  private static final long LONG = 60_000_000_000L;

  private static ClientConnections.Limits limits(int connections, long command, long idle) {
    return new ClientConnections.Limits(connections, command, idle, idle, LONG, LONG);
  }

  private static void closeAll(List<Peers.Client> clients) throws Exception {
    for (Peers.Client client : clients) {
      client.close();
    }
  }

  private static void connectAndRead(List<Peers.Client> clients, int count, Peers.Rig rig)
      throws Exception {
    for (int i = 0; i < count; i++) {
      clients.add(rig.client());
      assertEquals("VA 5 Oa" + i, clients.get(i).read("a" + i).readLine());
      assertEquals("hello", clients.get(i).readLine());
    }
  }

  @Test
  void answersRequestsOnConnectionsThatTimedOutDuringAStall() throws Exception {
    List<Peers.Client> clients = new ArrayList<>();
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Rig rig = new Peers.Rig(limits(40, LONG, SHORT), server)) {
      connectAndRead(clients, 20, rig);
      try (EventLoopHold hold = new EventLoopHold(rig.node, 4 * SHORT)) {
        for (int i = 0; i < 20; i++) {
          clients.get(i).read("b" + i);
        }
        hold.release();
      }
      for (int i = 0; i < 20; i++) {
        assertEquals("VA 5 Ob" + i, clients.get(i).readLine());
      }
    } finally {
      closeAll(clients);
    }
  }

  @Test
  void keepsConnectionsWithRequestsAndRejectsNewOnesWithError() throws Exception {
    List<Peers.Client> kept = new ArrayList<>();
    List<Peers.Client> fresh = new ArrayList<>();
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Rig rig = new Peers.Rig(limits(10, LONG, LONG), server)) {
      connectAndRead(kept, 10, rig);
      try (EventLoopHold hold = new EventLoopHold(rig.node, SHORT)) {
        for (int i = 0; i < 10; i++) {
          kept.get(i).read("b" + i);
          fresh.add(rig.client().read("c" + i));
        }
        hold.release();
      }
      for (int i = 0; i < 10; i++) {
        assertEquals("VA 5 Ob" + i, kept.get(i).readLine());
        assertNotNull(fresh.get(i).readLine(), "cut off without a byte");
      }
    } finally {
      closeAll(kept);
      closeAll(fresh);
    }
  }

  @Test
  void keepsNewConnectionsThatHaveSentRequests() throws Exception {
    List<Peers.Client> fresh = new ArrayList<>();
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Rig rig = new Peers.Rig(limits(5, LONG, LONG), server)) {
      for (int i = 0; i < 5; i++) {
        fresh.add(rig.client());
      }
      Peers.await("all are accepted", () -> rig.node.clientCount() == 5);
      try (EventLoopHold hold = new EventLoopHold(rig.node, SHORT)) {
        for (int i = 0; i < 5; i++) {
          fresh.get(i).read("b" + i);
          fresh.add(rig.client().read("c" + i));
        }
        hold.release();
      }
      for (int i = 0; i < 5; i++) {
        assertEquals("VA 5 Ob" + i, fresh.get(i).readLine());
        assertNotNull(fresh.get(i + 5).readLine(), "cut off without a byte");
      }
    } finally {
      closeAll(fresh);
    }
  }

  @Test
  void readsRestOfCommandBeforeTimingItOut() throws Exception {
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Rig rig = new Peers.Rig(limits(9, 2 * SHORT, LONG), server);
        Peers.Client client = rig.client()) {
      client.send("mg key-1 v O1 Pc=re");
      Peers.await("the client has connected", () -> rig.node.clientCount() == 1);
      // Normally the first half is read by then; otherwise the case under test does not arise.
      Thread.sleep(50);
      try (EventLoopHold hold = new EventLoopHold(rig.node, 5 * SHORT)) {
        client.send("ad,d=5000\r\n");
        hold.release();
      }
      assertEquals("VA 5 O1", client.readLine());
    }
  }

  @Test
  void drainAnswersRequestsSentBeforeListenerCloses() throws Exception {
    List<Peers.Client> clients = new ArrayList<>();
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Rig rig = new Peers.Rig(limits(40, LONG, LONG), server)) {
      connectAndRead(clients, 5, rig);
      Thread drain = new Thread(rig.node::drain);
      drain.start();
      // The listener closes half a second after the drain begins, which is during the stall.
      Peers.await("the drain", () -> drain.getState() == Thread.State.TIMED_WAITING);
      rig.node.loop().submit(() -> {}).sync();
      try (EventLoopHold hold = new EventLoopHold(rig.node, 10 * SHORT)) {
        for (int i = 0; i < 5; i++) {
          clients.get(i).send("mg key v Ob" + i + " Pc=read,d=2000\r\n");
          clients.add(rig.client().send("mg key v Oc" + i + " Pc=read,d=2000\r\n"));
        }
        hold.release();
      }
      for (int i = 0; i < 5; i++) {
        assertEquals("VA 5 Ob" + i, clients.get(i).readLine());
        assertEquals("VA 5 Oc" + i, clients.get(i + 5).readLine());
        assertEquals("hello", clients.get(i).readLine());
        assertNull(clients.get(i).readLine());
      }
      drain.join();
    } finally {
      closeAll(clients);
    }
  }

  @Test
  void drainAnswersRequestsSentBehindAnOpenOne() throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = new Peers.Rig(limits(9, LONG, LONG), server);
        Peers.Client client = rig.client();
        Peers.Client late = rig.client()) {
      client.read("1");
      late.read("2");
      Peers.await("both requests are sent", () -> server.lines.size() == 2);
      Thread drain = new Thread(rig.node::drain);
      drain.start();
      Peers.await("the drain has begun", () -> rig.node.isDrainingClients());
      client.send("mg key-3 v O3 Pc=read,d=400\r\n");
      late.send("mg key-4 v O4 Pc=read,d=60000\r\n");
      // Set before the answers, which let the node send the next request at once.
      server.script = Peers::successReply;
      for (String line : List.copyOf(server.lines)) {
        server.send(line, Peers.successReply(line));
      }
      assertEquals("VA 5 O1", client.readLine());
      assertEquals("hello", client.readLine());
      assertEquals("VA 5 O3", client.readLine());
      // A request that is due after the process ends is refused, which is safe.
      assertEquals("VA 5 O2", late.readLine());
      assertEquals("hello", late.readLine());
      assertEquals("SERVER_ERROR busy", late.readLine());
      assertNull(late.readLine());
      drain.join();
    }
  }

  @Test
  void usesAnswerThatArrivedBeforeTimeoutWasHandled() throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = new Peers.Rig(limits(9, LONG, LONG), server);
        Peers.Client client = rig.client()) {
      client.send("mg key-1 v O1 Pc=read,d=300\r\n");
      Peers.await("the request is sent", () -> server.lines.size() == 1);
      try (EventLoopHold hold = new EventLoopHold(rig.node, 5 * SHORT)) {
        server.send(server.lines.get(0), Peers.successReply(server.lines.get(0)));
        hold.release();
      }
      assertEquals("VA 5 O1", client.readLine());
    }
  }

  @Test
  void readsRestOfReplyBeforeTreatingItAsStalled() throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = new Peers.Rig(limits(9, LONG, LONG), server);
        Peers.Client client = rig.client()) {
      client.read("1");
      Peers.await("the request is sent", () -> server.lines.size() == 1);
      String reply = Peers.successReply(server.lines.get(0));
      server.send(server.lines.get(0), reply.substring(0, 12));
      Thread.sleep(50);
      try (EventLoopHold hold = new EventLoopHold(rig.node, 8 * SHORT)) {
        server.send(server.lines.get(0), reply.substring(12));
        hold.release();
      }
      assertEquals("VA 5 O1", client.readLine());
      assertEquals(1, server.lines.size(), "no second attempt");
    }
  }

  @Test
  void countsStallsOfEventLoop() throws Exception {
    try (Peers.Rig rig = new Peers.Rig(limits(9, LONG, LONG))) {
      new EventLoopHold(rig.node, 2 * SHORT).close();
      Peers.await("a pause", () -> rig.node.watch().pauseCount() > 0);
      assertTrue(rig.node.watch().longestTurnNanos() >= 2 * SHORT);
    }
  }
}
