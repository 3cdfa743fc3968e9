package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.LeakCheck;
import beamspread.model.Settings;
import beamspread.pool.PoolSettings;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/**
 * Requests that wait in the node are not sent after their clients have disconnected. In each test a
 * similar request that arrived later, and whose client stays connected, is sent in the end; the
 * request of the client that left would have been sent before it.
 */
@ExtendWith(LeakCheck.class)
class ClientDisconnectTest {
  private static final List<Settings.ServiceClass> READS =
      List.of(Peers.service("read", Settings.Effect.SAFE, 4, 10));

  private static Settings settings(boolean parallel, boolean cancel) {
    return Peers.settings(
        new Settings.Limits(6, parallel, cancel, false, false, false, 1, 2, 60, 32, 20000),
        false,
        READS);
  }

  private static Peers.Rig rig(Settings settings, Peers.Server server) throws Exception {
    return new Peers.Rig(
        settings, Peers.poolSettings(settings, 256), new Peers.Server(line -> null), server);
  }

  /** A read of the one key that all clients use here. */
  private static String readOfSameKey(String id) {
    return "mg same v O" + id + " Pc=read,d=10000\r\n";
  }

  /**
   * Sends one request, and two that are coalesced with it, the first of them on {@code leaving}.
   */
  private static void sendCoalescedReads(
      Peers.Rig rig,
      Peers.Server server,
      Peers.Client first,
      Peers.Client leaving,
      Peers.Client staying)
      throws Exception {
    first.send(readOfSameKey("1"));
    Peers.await("the first is sent", () -> server.lines.size() == 1);
    leaving.send(readOfSameKey("2"));
    Peers.await("the second is held", () -> rig.node.openRequests() == 2);
    staying.send(readOfSameKey("3"));
    Peers.await("the third is held", () -> rig.node.openRequests() == 3);
    assertEquals(1, server.lines.size());
  }

  private static boolean wasSent(Peers.Server server, String id) {
    return server.lines.stream().anyMatch(line -> line.contains(" O" + id + " "));
  }

  private static void assertOnlyThirdIsSent(Peers.Server server) throws Exception {
    Peers.await("the request of the staying client is sent", () -> wasSent(server, "3"));
    assertFalse(wasSent(server, "2"), "sent for a client that had disconnected");
  }

  private interface ClientAction {
    void run(Peers.Client client) throws Exception;
  }

  private static void disconnectInDrain(ClientAction disconnect) throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = rig(settings(true, true), server);
        Peers.Client first = rig.client();
        Peers.Client leaving = rig.client();
        Peers.Client staying = rig.client()) {
      sendCoalescedReads(rig, server, first, leaving, staying);
      Thread drain = new Thread(rig.node::drain);
      drain.start();
      Peers.await("the drain has begun", () -> rig.node.isDrainingClients());
      assertEquals(1, server.lines.size(), "the held requests were sent before the disconnect");
      disconnect.run(leaving);
      assertOnlyThirdIsSent(server);
      drain.join();
    }
  }

  @Test
  void closeInDrain() throws Exception {
    disconnectInDrain(Peers.Client::disconnect);
  }

  @Test
  void resetInDrain() throws Exception {
    disconnectInDrain(Peers.Client::reset);
  }

  @Test
  void anotherRequestThenCloseInDrain() throws Exception {
    disconnectInDrain(
        client -> {
          client.send("mg other v O9 Pc=read,d=10000\r\n");
          client.disconnect();
        });
  }

  @Test
  void partialCommandThenCloseInDrain() throws Exception {
    disconnectInDrain(
        client -> {
          client.send("mg other v O9 Pc=re");
          client.disconnect();
        });
  }

  private static void closeBehindPendingAnswers(int noOps) throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = rig(settings(true, true), server);
        Peers.Client first = rig.client();
        Peers.Client leaving = rig.client();
        Peers.Client staying = rig.client()) {
      sendCoalescedReads(rig, server, first, leaving, staying);
      leaving.send("mn\r\n".repeat(noOps));
      leaving.disconnect();
      assertOnlyThirdIsSent(server);
    }
  }

  @Test
  void closeWhileDecodingIsPaused() throws Exception {
    closeBehindPendingAnswers(400);
  }

  @Test
  void closeBehindMoreDataThanIsHeld() throws Exception {
    closeBehindPendingAnswers(40_000);
  }

  @Test
  void answersHeldCommandsInOrder() throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = rig(settings(true, true), server);
        Peers.Client client = rig.client()) {
      client.send("mg a v O1 Pc=read,d=10000\r\n" + "mn\r\n".repeat(600));
      client.send("mg b v O2 Pc=read,d=10000\r\n");
      Peers.await("the first is sent", () -> server.lines.size() == 1);
      server.script = Peers::successReply;
      server.send(server.lines.get(0), Peers.successReply(server.lines.get(0)));
      assertEquals("VA 5 O1", client.readLine());
      assertEquals("hello", client.readLine());
      for (int i = 0; i < 600; i++) {
        assertEquals("MN", client.readLine());
      }
      assertEquals("VA 5 O2", client.readLine());
    }
  }

  /**
   * During a stall, triggers the sending of a held request and then disconnects its client; after
   * the stall the event loop reads the two events in this order.
   */
  private static void disconnectDuringStall(
      Peers.Rig rig, Peers.Client leaving, ClientAction trigger, ClientAction disconnect)
      throws Exception {
    try (EventLoopHold hold = new EventLoopHold(rig.node, 0)) {
      trigger.run(leaving);
      disconnect.run(leaving);
      leaving.awaitCloseReceived();
      hold.release();
    }
  }

  private static void coalescedClientDisconnectsDuringStall(ClientAction disconnect)
      throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = rig(settings(true, true), server);
        Peers.Client first = rig.client();
        Peers.Client leaving = rig.client();
        Peers.Client staying = rig.client()) {
      sendCoalescedReads(rig, server, first, leaving, staying);
      disconnectDuringStall(
          rig,
          leaving,
          client -> server.send(0, Peers.successReply(server.lines.get(0))),
          disconnect);
      assertOnlyThirdIsSent(server);
    }
  }

  @Test
  void coalescedClientClosesDuringStall() throws Exception {
    coalescedClientDisconnectsDuringStall(Peers.Client::disconnect);
  }

  @Test
  void coalescedClientResetsDuringStall() throws Exception {
    coalescedClientDisconnectsDuringStall(Peers.Client::reset);
  }

  @Test
  void coalescedClientSendsRequestAndClosesDuringStall() throws Exception {
    coalescedClientDisconnectsDuringStall(
        client -> {
          client.send("mg other v O9 Pc=read,d=10000\r\n");
          client.disconnect();
        });
  }

  /** The server resets the first attempt, so that the request would be retried. */
  @Test
  void closeRightAfterServerResetsTheAttempt() throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Server other = new Peers.Server(line -> null);
        Peers.Rig rig =
            new Peers.Rig(
                settings(true, true),
                Peers.poolSettings(settings(true, true), 256),
                new Peers.Server(line -> null),
                server,
                other);
        Peers.Client leaving = rig.client();
        Peers.Client staying = rig.client()) {
      leaving.send("mg a v O2 Pc=read,d=10000\r\n");
      Peers.await("the request is sent", () -> wasSent(server, "2") || wasSent(other, "2"));
      Peers.Server asked = wasSent(server, "2") ? server : other;
      Peers.Server unasked = asked == server ? other : server;
      disconnectDuringStall(
          rig, leaving, client -> asked.closeConnectionOf(0, true), Peers.Client::disconnect);
      Peers.await("the close is noticed", () -> rig.node.clientCount() == 1);
      asked.script = Peers::successReply;
      unasked.script = Peers::successReply;
      staying.send("mg a v O3 Pc=read,d=10000\r\n");
      assertTrue(staying.readLine().startsWith("VA 5 O3"));
      assertFalse(wasSent(unasked, "2"), "retried for a client that had disconnected");
      assertEquals(1, asked.lines.stream().filter(line -> line.contains(" O2 ")).count());
    }
  }

  /** The only connection is in use, so that further requests wait for it. */
  private static void closeWhileWaitingForConnection(boolean cancel, boolean stalled)
      throws Exception {
    Settings settings = settings(false, cancel);
    PoolSettings oneConnection =
        new PoolSettings(1, 0, 0, 1, 8, 1, 8, 0, 8, 20_000_000_000L, 0, 20_000_000_000L, 1);
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig =
            new Peers.Rig(settings, oneConnection, new Peers.Server(line -> null), server);
        Peers.Client first = rig.client();
        Peers.Client leaving = rig.client();
        Peers.Client staying = rig.client()) {
      first.send("mg a v O1 Pc=read,d=10000\r\n");
      Peers.await("the first is sent", () -> server.lines.size() == 1);
      leaving.send("mg b v O2 Pc=read,d=10000\r\n");
      Peers.await("the second waits", () -> rig.node.openRequests() == 2);
      staying.send("mg c v O3 Pc=read,d=10000\r\n");
      Peers.await("the third waits", () -> rig.node.openRequests() == 3);
      ClientAction trigger = client -> server.send(0, Peers.successReply(server.lines.get(0)));
      if (stalled) {
        disconnectDuringStall(rig, leaving, trigger, Peers.Client::disconnect);
      } else {
        leaving.disconnect();
        Peers.await("the close is noticed", () -> rig.node.clientCount() == 2);
        assertEquals(1, server.lines.size());
        trigger.run(leaving);
      }
      assertOnlyThirdIsSent(server);
      assertTrue(first.readLine().startsWith("VA 5 O1"));
    }
  }

  @Test
  void closeWhileRequestWaitsForConnection() throws Exception {
    closeWhileWaitingForConnection(true, false);
  }

  @Test
  void closeWhileRequestWaitsForConnectionWithoutCancellation() throws Exception {
    closeWhileWaitingForConnection(false, false);
  }

  /** The only connection becomes free just before the close. */
  @Test
  void closeDuringStallWhileRequestWaitsForConnection() throws Exception {
    closeWhileWaitingForConnection(false, true);
  }
}
