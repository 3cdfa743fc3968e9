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

/** A node whose event loop stands still while clients ask: nobody who asked is cut off. */
@ExtendWith(LeakCheck.class)
class ClosesTest {
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

  private static void asked(List<Peers.Client> clients, int count, Peers.Rig rig) throws Exception {
    for (int i = 0; i < count; i++) {
      clients.add(rig.client());
      assertEquals("VA 5 Oa" + i, clients.get(i).read("a" + i).line());
      assertEquals("hello", clients.get(i).line());
    }
  }

  @Test
  void idleConnectionsWhoseTimeRanOutMeanwhileAreAnswered() throws Exception {
    List<Peers.Client> clients = new ArrayList<>();
    try (Peers.Server server = new Peers.Server(Peers::good);
        Peers.Rig rig = new Peers.Rig(limits(40, LONG, SHORT), server)) {
      asked(clients, 20, rig);
      try (Hold hold = new Hold(rig.node, 4 * SHORT)) {
        for (int i = 0; i < 20; i++) {
          clients.get(i).read("b" + i);
        }
        hold.release();
      }
      for (int i = 0; i < 20; i++) {
        assertEquals("VA 5 Ob" + i, clients.get(i).line());
      }
    } finally {
      closeAll(clients);
    }
  }

  @Test
  void whoHasAskedDoesNotGiveWayAndWhoFindsNoRoomIsTold() throws Exception {
    List<Peers.Client> kept = new ArrayList<>();
    List<Peers.Client> fresh = new ArrayList<>();
    try (Peers.Server server = new Peers.Server(Peers::good);
        Peers.Rig rig = new Peers.Rig(limits(10, LONG, LONG), server)) {
      asked(kept, 10, rig);
      try (Hold hold = new Hold(rig.node, SHORT)) {
        for (int i = 0; i < 10; i++) {
          kept.get(i).read("b" + i);
          fresh.add(rig.client().read("c" + i));
        }
        hold.release();
      }
      for (int i = 0; i < 10; i++) {
        assertEquals("VA 5 Ob" + i, kept.get(i).line());
        assertNotNull(fresh.get(i).line(), "cut off without a byte");
      }
    } finally {
      closeAll(kept);
      closeAll(fresh);
    }
  }

  @Test
  void freshConnectionsThatHaveAskedDoNotGiveWay() throws Exception {
    List<Peers.Client> fresh = new ArrayList<>();
    try (Peers.Server server = new Peers.Server(Peers::good);
        Peers.Rig rig = new Peers.Rig(limits(5, LONG, LONG), server)) {
      for (int i = 0; i < 5; i++) {
        fresh.add(rig.client());
      }
      Peers.await("all are accepted", () -> rig.node.clients() == 5);
      try (Hold hold = new Hold(rig.node, SHORT)) {
        for (int i = 0; i < 5; i++) {
          fresh.get(i).read("b" + i);
          fresh.add(rig.client().read("c" + i));
        }
        hold.release();
      }
      for (int i = 0; i < 5; i++) {
        assertEquals("VA 5 Ob" + i, fresh.get(i).line());
        assertNotNull(fresh.get(i + 5).line(), "cut off without a byte");
      }
    } finally {
      closeAll(fresh);
    }
  }

  @Test
  void aCommandWhoseEndLiesInTheSocketIsNoHalfCommand() throws Exception {
    try (Peers.Server server = new Peers.Server(Peers::good);
        Peers.Rig rig = new Peers.Rig(limits(9, 2 * SHORT, LONG), server);
        Peers.Client client = rig.client()) {
      client.send("mg key-1 v O1 Pc=re");
      Peers.await("it has connected", () -> rig.node.clients() == 1);
      // Its first half is read by then; if not, there is nothing to guard against.
      Thread.sleep(50);
      try (Hold hold = new Hold(rig.node, 5 * SHORT)) {
        client.send("ad,d=5000\r\n");
        hold.release();
      }
      assertEquals("VA 5 O1", client.line());
    }
  }

  @Test
  void aDrainAnswersWhatWasSentBeforeItCloses() throws Exception {
    List<Peers.Client> clients = new ArrayList<>();
    try (Peers.Server server = new Peers.Server(Peers::good);
        Peers.Rig rig = new Peers.Rig(limits(40, LONG, LONG), server)) {
      asked(clients, 5, rig);
      Thread drain = new Thread(rig.node::drain);
      drain.start();
      // Its listener closes half a second after it has begun: here, while the loop is held.
      Peers.await("the drain", () -> drain.getState() == Thread.State.TIMED_WAITING);
      rig.node.loop().submit(() -> {}).sync();
      try (Hold hold = new Hold(rig.node, 10 * SHORT)) {
        for (int i = 0; i < 5; i++) {
          clients.get(i).send("mg key v Ob" + i + " Pc=read,d=2000\r\n");
          clients.add(rig.client().send("mg key v Oc" + i + " Pc=read,d=2000\r\n"));
        }
        hold.release();
      }
      for (int i = 0; i < 5; i++) {
        assertEquals("VA 5 Ob" + i, clients.get(i).line());
        assertEquals("VA 5 Oc" + i, clients.get(i + 5).line());
        assertEquals("hello", clients.get(i).line());
        assertNull(clients.get(i).line());
      }
      drain.join();
    } finally {
      closeAll(clients);
    }
  }

  @Test
  void aDrainAnswersWhatWasSentBehindAnOpenRequest() throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = new Peers.Rig(limits(9, LONG, LONG), server);
        Peers.Client client = rig.client();
        Peers.Client late = rig.client()) {
      client.read("1");
      late.read("2");
      Peers.await("both requests go out", () -> server.lines.size() == 2);
      Thread drain = new Thread(rig.node::drain);
      drain.start();
      Peers.await("the drain has begun", () -> rig.node.drainsClients());
      client.send("mg key-3 v O3 Pc=read,d=400\r\n");
      late.send("mg key-4 v O4 Pc=read,d=60000\r\n");
      // First: the answers let the next request out at once.
      server.script = Peers::good;
      for (String line : List.copyOf(server.lines)) {
        server.send(line, Peers.good(line));
      }
      assertEquals("VA 5 O1", client.line());
      assertEquals("hello", client.line());
      assertEquals("VA 5 O3", client.line());
      // What this node may not live to answer is turned away, which is harmless.
      assertEquals("VA 5 O2", late.line());
      assertEquals("hello", late.line());
      assertEquals("SERVER_ERROR busy", late.line());
      assertNull(late.line());
      drain.join();
    }
  }

  @Test
  void anAnswerThatCameBeforeItsTimeOutWasNoticedCounts() throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = new Peers.Rig(limits(9, LONG, LONG), server);
        Peers.Client client = rig.client()) {
      client.send("mg key-1 v O1 Pc=read,d=300\r\n");
      Peers.await("the request goes out", () -> server.lines.size() == 1);
      try (Hold hold = new Hold(rig.node, 5 * SHORT)) {
        server.send(server.lines.get(0), Peers.good(server.lines.get(0)));
        hold.release();
      }
      assertEquals("VA 5 O1", client.line());
    }
  }

  @Test
  void aReplyWhoseEndLiesInTheSocketIsNotStuck() throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = new Peers.Rig(limits(9, LONG, LONG), server);
        Peers.Client client = rig.client()) {
      client.read("1");
      Peers.await("the request goes out", () -> server.lines.size() == 1);
      String reply = Peers.good(server.lines.get(0));
      server.send(server.lines.get(0), reply.substring(0, 12));
      Thread.sleep(50);
      try (Hold hold = new Hold(rig.node, 8 * SHORT)) {
        server.send(server.lines.get(0), reply.substring(12));
        hold.release();
      }
      assertEquals("VA 5 O1", client.line());
      assertEquals(1, server.lines.size(), "no second attempt");
    }
  }

  @Test
  void thePausesAreOnTheStatus() throws Exception {
    try (Peers.Rig rig = new Peers.Rig(limits(9, LONG, LONG))) {
      new Hold(rig.node, 2 * SHORT).close();
      Peers.await("a pause", () -> rig.node.watch().pauseCount() > 0);
      assertTrue(rig.node.watch().longestTurnNanos() >= 2 * SHORT);
    }
  }
}
