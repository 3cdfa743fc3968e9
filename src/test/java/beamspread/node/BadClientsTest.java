package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.LeakCheck;
import beamspread.node.client.ClientConnections;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that send invalid, incomplete or excessive input, or none at all. */
@ExtendWith(LeakCheck.class)
class BadClientsTest {
  private static final long SHORT = 200_000_000L;
  private static final long LONG = 60_000_000_000L;

  private static ClientConnections.Limits limits(int connections, long command, long idle) {
    return new ClientConnections.Limits(connections, command, idle, idle, LONG, LONG);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "mg key v O1 Pc=nosuch,d=500",
        "mg key v O1 Pc=read,d=soon",
        "mg key v O1 Pc=read",
        "mg key v Pc=read,d=500",
        "mg key O1 Pc=read,d=500",
        "mg key v q O1 Pc=read,d=500",
        "mg key v O1 O2 Pc=read,d=500",
        "mg key v O1 Pc=read,d=500,d=600",
        "mg  key v O1 Pc=read,d=500",
        "mg k\u00e9y v O1 Pc=read,d=500",
        "ms key 1 O1 Pc=keyed,d=500\r\nx",
      })
  void getAnErrorAndReachNoServer(String command) throws Exception {
    try (Peers.Server server = new Peers.Server(Peers::good);
        Peers.Rig rig = new Peers.Rig(limits(9, LONG, LONG), server);
        Peers.Client client = rig.client()) {
      String error = client.send(command + "\r\n").line();
      assertTrue(error.startsWith("CLIENT_ERROR "), error);
      assertEquals("VA 5 O2", client.read("2").line());
      assertEquals(1, server.lines.size(), server.lines::toString);
    }
  }

  @Test
  void areToldWhyAlthoughTheyGoOnSending() throws Exception {
    try (Peers.Rig rig = new Peers.Rig(limits(9, LONG, LONG));
        Peers.Client client = rig.client()) {
      client.send("ms key 60000000 O1 Pc=put,d=500\r\n");
      client.send("x".repeat(200_000));
      assertEquals("CLIENT_ERROR bad data length", client.line());
      assertNull(client.line());
    }
  }

  @Test
  void whoAskOnceAndKeepTheirConnectionLeaveRoom() throws Exception {
    ClientConnections.Limits limits =
        new ClientConnections.Limits(9, LONG, LONG, SHORT, LONG, LONG);
    List<Peers.Client> clients = new ArrayList<>();
    try (Peers.Server server = new Peers.Server(Peers::good);
        Peers.Rig rig = new Peers.Rig(limits, server)) {
      for (int i = 0; i < 9; i++) {
        clients.add(rig.client());
        assertEquals("VA 5 O" + i, clients.get(i).read("" + i).line());
        clients.get(i).line();
      }
      // The connection that has been idle longest is closed first, well before its idle timeout.
      assertNull(clients.get(0).line());
    } finally {
      for (Peers.Client client : clients) {
        client.close();
      }
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "mg key v O1 Pc=read,d=2000\r\n"})
  void areHeldUpOnceTheyAreTurnedAway(String owed) throws Exception {
    ClientConnections.Limits limits =
        new ClientConnections.Limits(9, LONG, LONG, LONG, LONG, SHORT);
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = new Peers.Rig(limits, server);
        Peers.Client client = rig.client()) {
      client.send(owed + "\n");
      int written = 0;
      try {
        for (; written < 1000; written++) {
          client.send("x".repeat(100_000));
        }
      } catch (java.io.IOException e) {
        // The node has closed the connection, as expected.
      }
      assertTrue(written < 1000);
    }
  }

  @Test
  void halfACommandEndsInAnError() throws Exception {
    try (Peers.Rig rig = new Peers.Rig(limits(9, SHORT, LONG));
        Peers.Client line = rig.client();
        Peers.Client value = rig.client()) {
      line.send("mg key v O1 Pc=re");
      value.send("ms key 100 O1 Pc=put,d=500\r\nworld");
      assertEquals("CLIENT_ERROR command not finished", line.line());
      assertEquals("CLIENT_ERROR command not finished", value.line());
      assertNull(line.line());
      assertNull(value.line());
    }
  }

  @Test
  void silenceEndsInAClose() throws Exception {
    try (Peers.Rig rig = new Peers.Rig(limits(9, SHORT, LONG));
        Peers.Client client = rig.client()) {
      assertNull(client.line());
    }
  }

  @Test
  void anIdleConnectionIsClosed() throws Exception {
    try (Peers.Rig rig = new Peers.Rig(limits(9, LONG, SHORT));
        Peers.Client client = rig.client()) {
      assertEquals("MN", client.send("mn\r\n").line());
      assertNull(client.line());
    }
  }

  @Test
  void silentOnesGiveWay() throws Exception {
    List<Peers.Client> silent = new ArrayList<>();
    try (Peers.Server server = new Peers.Server(Peers::good);
        Peers.Rig rig = new Peers.Rig(limits(4, LONG, LONG), server)) {
      for (int i = 0; i < 40; i++) {
        silent.add(rig.client());
      }
      assertNull(silent.get(0).line());
      try (Peers.Client client = rig.client()) {
        assertEquals("VA 5 O1", client.read("1").line());
      }
    } finally {
      for (Peers.Client client : silent) {
        client.close();
      }
    }
  }

  @Test
  void openRequestsNeverGiveWay() throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = new Peers.Rig(limits(1, LONG, LONG), server);
        Peers.Client first = rig.client()) {
      first.read("1");
      Peers.await("the request is sent", () -> server.lines.size() == 1);
      try (Peers.Client second = rig.client()) {
        assertEquals("SERVER_ERROR busy", second.line());
        assertNull(second.line());
      }
      server.connections.get(0).getOutputStream().write(Peers.good(server.lines.get(0)).getBytes());
      assertEquals("VA 5 O1", first.line());
    }
  }

  @Test
  void commandsBeyondAConnectionsShareAreRefused() throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = new Peers.Rig(limits(9, LONG, LONG), server);
        Peers.Client client = rig.client();
        Peers.Client other = rig.client()) {
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < 100; i++) {
        all.append("mg key-" + i + " v O" + i + " Pc=read,d=300\r\n");
      }
      client.send(all.toString());
      int busy = 0;
      for (int i = 0; i < 100; i++) {
        busy += client.line().equals("SERVER_ERROR busy") ? 1 : 0;
      }
      assertTrue(busy >= 68, busy + " refused");
      server.script = Peers::good;
      assertEquals("VA 5 Olast", other.read("last").line());
    }
  }

  @Test
  void nonsenseWithoutEndIsTurnedAway() throws Exception {
    try (Peers.Rig rig = new Peers.Rig(limits(9, LONG, LONG));
        Peers.Client client = rig.client()) {
      client.send("what\r\n".repeat(100));
      for (int i = 0; i < 16; i++) {
        assertEquals("ERROR", client.line());
      }
      assertNull(client.line());
    }
  }

  @Test
  void pipelinedCommandsCutAnywhereAreNoHalfCommand() throws Exception {
    try (Peers.Server server = new Peers.Server(Peers::good);
        Peers.Rig rig = new Peers.Rig(limits(9, 3 * SHORT, LONG), server);
        Peers.Client client = rig.client()) {
      client.send("mg ");
      long until = System.nanoTime() + 6 * SHORT;
      for (int i = 0; System.nanoTime() - until < 0; i++) {
        client.send("key v O" + i + " Pc=read,d=5000\r\nmg ");
        assertEquals("VA 5 O" + i, client.line());
        assertEquals("hello", client.line());
        Thread.sleep(5);
      }
    }
  }
}
