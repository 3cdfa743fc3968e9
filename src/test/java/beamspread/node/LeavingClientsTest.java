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
 * Clients that leave while their requests wait here: nothing of these goes out afterwards. In each
 * test a request of the same kind that was taken later, and whose client has stayed, goes out in
 * the end, so that the other would have gone before it.
 */
@ExtendWith(LeakCheck.class)
class LeavingClientsTest {
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

  /** A read of the one key that all ask for here. */
  private static String same(String id) {
    return "mg same v O" + id + " Pc=read,d=10000\r\n";
  }

  /** One request is out, two wait for what comes of it, the first of them on the given client. */
  private static void followers(
      Peers.Rig rig,
      Peers.Server server,
      Peers.Client first,
      Peers.Client leaves,
      Peers.Client then)
      throws Exception {
    first.send(same("1"));
    Peers.await("the first goes out", () -> server.lines.size() == 1);
    leaves.send(same("2"));
    Peers.await("the second is held", () -> rig.node.openRequests() == 2);
    then.send(same("3"));
    Peers.await("the third is held", () -> rig.node.openRequests() == 3);
    assertEquals(1, server.lines.size());
  }

  private static boolean wentOut(Peers.Server server, String id) {
    return server.lines.stream().anyMatch(line -> line.contains(" O" + id + " "));
  }

  private static void onlyTheThird(Peers.Server server) throws Exception {
    Peers.await("the one whose client stays goes out", () -> wentOut(server, "3"));
    assertFalse(wentOut(server, "2"), "sent on for a client that had left");
  }

  private interface Leave {
    void leave(Peers.Client client) throws Exception;
  }

  private static void inADrain(Leave leave) throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = rig(settings(true, true), server);
        Peers.Client first = rig.client();
        Peers.Client leaves = rig.client();
        Peers.Client then = rig.client()) {
      followers(rig, server, first, leaves, then);
      Thread drain = new Thread(rig.node::drain);
      drain.start();
      Peers.await("the drain has begun", () -> rig.node.isDrainingClients());
      assertEquals(1, server.lines.size(), "slower than what is held waits");
      leave.leave(leaves);
      onlyTheThird(server);
      drain.join();
    }
  }

  @Test
  void oneThatClosesInADrain() throws Exception {
    inADrain(Peers.Client::disconnect);
  }

  @Test
  void oneThatResetsInADrain() throws Exception {
    inADrain(Peers.Client::reset);
  }

  @Test
  void oneThatAsksOnceMoreAndClosesInADrain() throws Exception {
    inADrain(
        client -> {
          client.send("mg other v O9 Pc=read,d=10000\r\n");
          client.disconnect();
        });
  }

  @Test
  void oneThatClosesWithHalfACommandInADrain() throws Exception {
    inADrain(
        client -> {
          client.send("mg other v O9 Pc=re");
          client.disconnect();
        });
  }

  private static void behindOwedAnswers(int hellos) throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = rig(settings(true, true), server);
        Peers.Client first = rig.client();
        Peers.Client leaves = rig.client();
        Peers.Client then = rig.client()) {
      followers(rig, server, first, leaves, then);
      leaves.send("mn\r\n".repeat(hellos));
      leaves.disconnect();
      onlyTheThird(server);
    }
  }

  @Test
  void oneThatIsOwedSoManyThatNoMoreIsTaken() throws Exception {
    behindOwedAnswers(400);
  }

  @Test
  void oneThatHasSentMoreThanIsKeptBehindThem() throws Exception {
    behindOwedAnswers(40_000);
  }

  @Test
  void whatWasKeptBackIsAnsweredInOrder() throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = rig(settings(true, true), server);
        Peers.Client client = rig.client()) {
      client.send("mg a v O1 Pc=read,d=10000\r\n" + "mn\r\n".repeat(600));
      client.send("mg b v O2 Pc=read,d=10000\r\n");
      Peers.await("the first goes out", () -> server.lines.size() == 1);
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
   * What sets a held request off comes first, then its client's close, both while the node stands:
   * the loop finds the two in this order.
   */
  private static void closesBehind(Peers.Rig rig, Peers.Client leaves, Leave setOff, Leave leave)
      throws Exception {
    try (EventLoopHold hold = new EventLoopHold(rig.node, 0)) {
      setOff.leave(leaves);
      leave.leave(leaves);
      leaves.awaitCloseReceived();
      hold.release();
    }
  }

  private static void followerCloses(Leave leave) throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = rig(settings(true, true), server);
        Peers.Client first = rig.client();
        Peers.Client leaves = rig.client();
        Peers.Client then = rig.client()) {
      followers(rig, server, first, leaves, then);
      closesBehind(
          rig, leaves, client -> server.send(0, Peers.successReply(server.lines.get(0))), leave);
      onlyTheThird(server);
    }
  }

  @Test
  void aFollowerThatClosesWhileTheNodeStands() throws Exception {
    followerCloses(Peers.Client::disconnect);
  }

  @Test
  void aFollowerThatResetsWhileTheNodeStands() throws Exception {
    followerCloses(Peers.Client::reset);
  }

  @Test
  void aFollowerThatAsksOnceMoreAndClosesWhileTheNodeStands() throws Exception {
    followerCloses(
        client -> {
          client.send("mg other v O9 Pc=read,d=10000\r\n");
          client.disconnect();
        });
  }

  /** Its first attempt is reset, and it would be tried again; held without the look as well. */
  @Test
  void oneWhoseAttemptIsTurnedAwayBeforeItsClose() throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Server other = new Peers.Server(line -> null);
        Peers.Rig rig =
            new Peers.Rig(
                settings(true, true),
                Peers.poolSettings(settings(true, true), 256),
                new Peers.Server(line -> null),
                server,
                other);
        Peers.Client leaves = rig.client();
        Peers.Client then = rig.client()) {
      leaves.send("mg a v O2 Pc=read,d=10000\r\n");
      Peers.await("it goes out", () -> wentOut(server, "2") || wentOut(other, "2"));
      Peers.Server has = wentOut(server, "2") ? server : other;
      Peers.Server lacks = has == server ? other : server;
      closesBehind(rig, leaves, client -> has.closeConnectionOf(0, true), Peers.Client::disconnect);
      Peers.await("the close is seen", () -> rig.node.clientCount() == 1);
      has.script = Peers::successReply;
      lacks.script = Peers::successReply;
      then.send("mg a v O3 Pc=read,d=10000\r\n");
      assertTrue(then.readLine().startsWith("VA 5 O3"));
      assertFalse(wentOut(lacks, "2"), "tried again for a client that had left");
      assertEquals(1, has.lines.stream().filter(line -> line.contains(" O2 ")).count());
    }
  }

  /** The one connection is taken, so that what comes next waits for it. */
  private static void waitingForAConnection(boolean cancel, boolean stands) throws Exception {
    Settings settings = settings(false, cancel);
    PoolSettings one =
        new PoolSettings(1, 0, 0, 1, 8, 1, 8, 0, 8, 20_000_000_000L, 0, 20_000_000_000L, 1);
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = new Peers.Rig(settings, one, new Peers.Server(line -> null), server);
        Peers.Client first = rig.client();
        Peers.Client leaves = rig.client();
        Peers.Client then = rig.client()) {
      first.send("mg a v O1 Pc=read,d=10000\r\n");
      Peers.await("the first goes out", () -> server.lines.size() == 1);
      leaves.send("mg b v O2 Pc=read,d=10000\r\n");
      Peers.await("the second waits", () -> rig.node.openRequests() == 2);
      then.send("mg c v O3 Pc=read,d=10000\r\n");
      Peers.await("the third waits", () -> rig.node.openRequests() == 3);
      Leave setOff = client -> server.send(0, Peers.successReply(server.lines.get(0)));
      if (stands) {
        closesBehind(rig, leaves, setOff, Peers.Client::disconnect);
      } else {
        leaves.disconnect();
        Peers.await("the close is seen", () -> rig.node.clientCount() == 2);
        assertEquals(1, server.lines.size());
        setOff.leave(leaves);
      }
      onlyTheThird(server);
      assertTrue(first.readLine().startsWith("VA 5 O1"));
    }
  }

  @Test
  void oneWhoseRequestWaitsForAConnection() throws Exception {
    waitingForAConnection(true, false);
  }

  @Test
  void oneWhoseRequestWaitsForAConnectionWhereNothingMayBeCalledOff() throws Exception {
    waitingForAConnection(false, false);
  }

  /** The one connection is free again just before the close. */
  @Test
  void oneThatWaitsForAConnectionAndClosesWhileTheNodeStands() throws Exception {
    waitingForAConnection(false, true);
  }
}
