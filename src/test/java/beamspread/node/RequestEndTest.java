package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.LeakCheck;
import beamspread.model.Settings;
import beamspread.pool.PoolSettings;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/** Requests that are open when a drain begins, a repeat window ends, or a server drains. */
@ExtendWith(LeakCheck.class)
class RequestEndTest {
  private static final long LONG_NANOS = 20_000_000_000L;

  /** One connection to each server, with one attempt at a time. */
  private static final PoolSettings ONE_CONNECTION =
      new PoolSettings(1, 0, 0, 1, 8, 1, 8, 0, 8, LONG_NANOS, 0, LONG_NANOS, 1);

  private static Settings settings(double connectTimeout, Settings.ServiceClass... classes) {
    return Peers.settings(
        new Settings.Limits(6, false, true, false, false, false, 1, connectTimeout, 60, 1, 20000),
        false,
        List.of(classes));
  }

  private static Settings.ServiceClass read(double deadline) {
    return Peers.service("read", Settings.Effect.SAFE, deadline / 2, deadline);
  }

  private static Thread drain(Peers.Rig rig) {
    Thread drain = new Thread(rig.node::drain);
    drain.start();
    return drain;
  }

  private static long receivedCount(Peers.Server server, String id) {
    return server.lines.stream().filter(line -> line.contains(" O" + id + " ")).count();
  }

  /**
   * The platform kills a node 3.7 s after the stop signal, however long the deadlines of its
   * requests are.
   */
  @Test
  void drainAnswersRequestsWithLongDeadlinesBeforeProcessIsKilled() throws Exception {
    Settings settings = settings(1, read(30));
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig =
            new Peers.Rig(
                settings,
                Peers.poolSettings(settings, 256),
                new Peers.Server(line -> null),
                server);
        Peers.Client before = rig.client();
        Peers.Client after = rig.client()) {
      before.send("mg a v O1 Pc=read,d=30000\r\n");
      Peers.await("the request is sent", () -> server.lines.size() == 1);
      long startedNanos = System.nanoTime();
      Thread drain = drain(rig);
      Peers.await("the drain waits", () -> drain.getState() == Thread.State.TIMED_WAITING);
      rig.node.loop().submit(() -> {}).sync();
      after.send("mg b v O2 Pc=read,d=30000\r\n");
      assertEquals("SERVER_ERROR failed", before.readLine());
      String late = after.readLine();
      assertNotNull(late, "no answer");
      assertTrue(late.startsWith("SERVER_ERROR"), late);
      drain.join();
      long millis = (System.nanoTime() - startedNanos) / 1_000_000;
      assertTrue(millis < 12_000, "ended after " + millis + " ms of 30 s");
    }
  }

  @Test
  void drainEndsAtOnceIfNodeIsNotListening() throws Exception {
    Settings settings = settings(1, read(10));
    try (Peers.Server discovery = new Peers.Server(line -> null)) {
      Node node = Peers.unstartedNode(settings, discovery);
      try {
        Thread drain = new Thread(node::drain);
        drain.start();
        drain.join(3_000);
        assertFalse(drain.isAlive(), "the drain waits although no client was accepted");
      } finally {
        node.close();
      }
    }
  }

  /** The retry waits for the only connection until servers have forgotten the first attempt. */
  @Test
  void doesNotRetryKeyedWriteAfterRepeatWindow() throws Exception {
    Settings.ServiceClass keyed =
        new Settings.ServiceClass(
            "keyed", 5, 0, 10, 1, 0, Settings.Effect.KEYED, Settings.Group.ALL, 1.5, false);
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig =
            new Peers.Rig(
                settings(0.3, read(20), keyed),
                ONE_CONNECTION,
                new Peers.Server(line -> null),
                server);
        Peers.Client writer = rig.client();
        Peers.Client reader = rig.client()) {
      writer.send("ms a 5 O1 Pc=keyed,d=10000,k=77\r\nworld\r\n");
      Peers.await("the write is sent", () -> receivedCount(server, "1") == 1);
      long firstSentNanos = System.nanoTime();
      reader.send("mg b v O2 Pc=read,d=20000\r\n");
      Peers.await("the read waits behind it", () -> rig.node.openRequests() == 2);
      server.closeConnectionOf(server.lines.get(0));
      Peers.await("the read is sent first", () -> receivedCount(server, "2") == 1);
      assertTrue(System.nanoTime() - firstSentNanos < 1_100_000_000L, "slower than the window");
      Peers.await("the window is over", () -> System.nanoTime() - firstSentNanos > 1_600_000_000L);
      String read = server.lines.get(1);
      server.script = Peers::successReply;
      server.send(read, Peers.successReply(read));
      assertEquals("VA 5 O2", reader.readLine());
      assertEquals("SERVER_ERROR busy", writer.readLine());
      assertEquals(1, receivedCount(server, "1"), "carried out twice");
    }
  }

  /** A request that chose its server before the drain waits for a connection past the grace. */
  @Test
  void doesNotSendQueuedRequestToDrainingServer() throws Exception {
    try (Peers.Server draining = new Peers.Server(line -> null);
        Peers.Server ready = new Peers.Server(Peers::successReply);
        Peers.Server discovery =
            new Peers.Server(line -> line.startsWith("GET ") ? Peers.WATCH_RESPONSE_HEAD : null);
        Peers.Rig rig = new Peers.Rig(settings(1, read(20)), ONE_CONNECTION, discovery, draining);
        Peers.Client first = rig.client();
        Peers.Client second = rig.client()) {
      first.send("mg a v O1 Pc=read,d=20000\r\n");
      Peers.await("the first is sent", () -> receivedCount(draining, "1") == 1);
      second.send("mg b v O2 Pc=read,d=20000\r\n");
      Peers.await("the second waits", () -> rig.node.openRequests() == 2);
      Peers.await("a watch", () -> !discovery.lines.isEmpty());
      String list = Peers.listJson(2, draining, ready).replaceFirst("active", "leaving");
      discovery.send(0, Peers.chunk(list + "\n"));
      // Redirected at once, not when the connection is free.
      assertEquals("VA 5 O2", second.readLine());
      assertEquals(1, receivedCount(ready, "2"));
      draining.send(draining.lines.get(0), Peers.successReply(draining.lines.get(0)));
      assertEquals("VA 5 O1", first.readLine());
      assertEquals(0, receivedCount(draining, "2"));
    }
  }

  /** A write that times out while it waits for a connection was never executed. */
  @Test
  void refusesUnsafeWriteThatWasNeverSent() throws Exception {
    Settings.ServiceClass put = Peers.service("put", Settings.Effect.UNSAFE, 0.5, 1);
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig =
            new Peers.Rig(
                settings(0.3, read(20), put),
                ONE_CONNECTION,
                new Peers.Server(line -> null),
                server);
        Peers.Client reader = rig.client();
        Peers.Client writer = rig.client()) {
      reader.send("mg a v O1 Pc=read,d=20000\r\n");
      Peers.await("the read is sent", () -> receivedCount(server, "1") == 1);
      writer.send("ms b 5 O2 Pc=put,d=1000\r\nworld\r\n");
      assertEquals("SERVER_ERROR busy", writer.readLine());
      server.send(server.lines.get(0), Peers.successReply(server.lines.get(0)));
      assertEquals("VA 5 O1", reader.readLine());
      assertEquals(0, receivedCount(server, "2"));
    }
  }

  /** A write that was sent may have been executed. */
  @Test
  void failsUnsafeWriteThatWasSent() throws Exception {
    Settings.ServiceClass put = Peers.service("put", Settings.Effect.UNSAFE, 0.5, 1);
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig =
            new Peers.Rig(
                settings(0.3, read(20), put),
                ONE_CONNECTION,
                new Peers.Server(line -> null),
                server);
        Peers.Client writer = rig.client()) {
      writer.send("ms b 5 O2 Pc=put,d=1000\r\nworld\r\n");
      assertEquals("SERVER_ERROR failed", writer.readLine());
      assertEquals(1, receivedCount(server, "2"));
    }
  }

  /** A request that is received during a drain is sent while an earlier one is still open. */
  @Test
  void drainSendsRequestBehindAnOpenOneWithoutWaiting() throws Exception {
    Settings settings = settings(1, read(10));
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig =
            new Peers.Rig(
                settings,
                Peers.poolSettings(settings, 256),
                new Peers.Server(line -> null),
                server);
        Peers.Client client = rig.client()) {
      client.send("mg a v O1 Pc=read,d=10000\r\n");
      Peers.await("the first is sent", () -> receivedCount(server, "1") == 1);
      Thread drain = drain(rig);
      Peers.await("the drain has begun", () -> rig.node.isDrainingClients());
      client.send("mg b v O2 Pc=read,d=1500\r\n");
      Peers.await(
          "the second is sent while the first is open", () -> receivedCount(server, "2") == 1);
      for (String line : List.copyOf(server.lines)) {
        server.send(line, Peers.successReply(line));
      }
      assertEquals("VA 5 O1", client.readLine());
      assertEquals("hello", client.readLine());
      assertEquals("VA 5 O2", client.readLine());
      assertEquals("hello", client.readLine());
      assertNull(client.readLine());
      drain.join();
    }
  }
}
