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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that send invalid, incomplete or excessive input, or none at all. */
@ExtendWith(LeakCheck.class)
class InvalidClientsTest {
  private static final long SHORT_NANOS = 200_000_000L;
  private static final long LONG_NANOS = 60_000_000_000L;

  private static ClientConnections.Limits limits(int connections, long command, long idle) {
    return new ClientConnections.Limits(connections, command, idle, idle, LONG_NANOS, LONG_NANOS);
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
  void rejectsInvalidCommandWithoutSendingIt(String command) throws Exception {
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Rig rig = new Peers.Rig(limits(9, LONG_NANOS, LONG_NANOS), server);
        Peers.Client client = rig.client()) {
      String error = client.send(command + "\r\n").readLine();
      assertTrue(error.startsWith("CLIENT_ERROR "), error);
      assertEquals("VA 5 O2", client.read("2").readLine());
      assertEquals(1, server.lines.size(), server.lines::toString);
    }
  }

  @Test
  void reportsErrorWhileClientKeepsSending() throws Exception {
    try (Peers.Rig rig = new Peers.Rig(limits(9, LONG_NANOS, LONG_NANOS));
        Peers.Client client = rig.client()) {
      client.send("ms key 60000000 O1 Pc=put,d=500\r\n");
      client.send("x".repeat(200_000));
      assertEquals("CLIENT_ERROR bad data length", client.readLine());
      assertNull(client.readLine());
    }
  }

  @Test
  void closesLongestIdleConnectionNearLimit() throws Exception {
    ClientConnections.Limits limits =
        new ClientConnections.Limits(
            9, LONG_NANOS, LONG_NANOS, SHORT_NANOS, LONG_NANOS, LONG_NANOS);
    List<Peers.Client> clients = new ArrayList<>();
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Rig rig = new Peers.Rig(limits, server)) {
      for (int i = 0; i < 9; i++) {
        clients.add(rig.client());
        assertEquals("VA 5 O" + i, clients.get(i).read("" + i).readLine());
        clients.get(i).readLine();
      }
      // The connection that has been idle longest is closed first, well before its idle timeout.
      assertNull(clients.get(0).readLine());
    } finally {
      for (Peers.Client client : clients) {
        client.close();
      }
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "mg key v O1 Pc=read,d=2000\r\n"})
  void stopsReadingFromRejectedClient(String pendingCommand) throws Exception {
    ClientConnections.Limits limits =
        new ClientConnections.Limits(
            9, LONG_NANOS, LONG_NANOS, LONG_NANOS, LONG_NANOS, SHORT_NANOS);
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = new Peers.Rig(limits, server);
        Peers.Client client = rig.client()) {
      client.send(pendingCommand + "\n");
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

  /** Answers that can still be in time are not cut off for want of reading. */
  @Test
  void clientThatPausesItsReadingIsNotCutOffBeforeItsDeadlines() throws Exception {
    ClientConnections.Limits limits =
        new ClientConnections.Limits(
            9, LONG_NANOS, LONG_NANOS, LONG_NANOS, SHORT_NANOS, LONG_NANOS);
    int length = 62_000;
    int batches = 4;
    int readsPerBatch = 30;
    String value = "v".repeat(length) + "\r\n";
    try (Peers.Server server =
            new Peers.Server(
                line -> "VA " + length + " O" + Peers.flagValue(line, 'O') + " h1\r\n" + value);
        Peers.Rig rig = new Peers.Rig(limits, server);
        Peers.Client client = new Peers.Client(rig.address, 4096)) {
      for (int batch = 0; batch < batches; batch++) {
        for (int i = 0; i < readsPerBatch; i++) {
          client.read(batch + "-" + i);
        }
        int sent = (batch + 1) * readsPerBatch;
        Thread.sleep(100);
        if (server.lines.size() < sent) {
          break;
        }
      }
      Thread.sleep(5 * SHORT_NANOS / 1_000_000);
      int served = 0;
      for (int i = 0; i < server.lines.size(); i++) {
        String line = client.readLine();
        assertNotNull(line, "cut off after " + served + " of " + server.lines.size());
        served += line.startsWith("VA ") ? 1 : 0;
        if (line.startsWith("VA ")) {
          assertEquals(length + 2, client.readBytes(length + 2).length);
        }
      }
      assertTrue(served > readsPerBatch, served + " served");
    }
  }

  @Test
  void incompleteCommandTimesOutWithError() throws Exception {
    try (Peers.Rig rig = new Peers.Rig(limits(9, SHORT_NANOS, LONG_NANOS));
        Peers.Client line = rig.client();
        Peers.Client value = rig.client()) {
      line.send("mg key v O1 Pc=re");
      value.send("ms key 100 O1 Pc=put,d=500\r\nworld");
      assertEquals("CLIENT_ERROR command not finished", line.readLine());
      assertEquals("CLIENT_ERROR command not finished", value.readLine());
      assertNull(line.readLine());
      assertNull(value.readLine());
    }
  }

  @Test
  void closesSilentConnection() throws Exception {
    try (Peers.Rig rig = new Peers.Rig(limits(9, SHORT_NANOS, LONG_NANOS));
        Peers.Client client = rig.client()) {
      assertNull(client.readLine());
    }
  }

  @Test
  void closesIdleConnection() throws Exception {
    try (Peers.Rig rig = new Peers.Rig(limits(9, LONG_NANOS, SHORT_NANOS));
        Peers.Client client = rig.client()) {
      assertEquals("MN", client.send("mn\r\n").readLine());
      assertNull(client.readLine());
    }
  }

  @Test
  void silentConnectionsMakeRoomForNewOnes() throws Exception {
    List<Peers.Client> silent = new ArrayList<>();
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Rig rig = new Peers.Rig(limits(4, LONG_NANOS, LONG_NANOS), server)) {
      for (int i = 0; i < 40; i++) {
        silent.add(rig.client());
      }
      assertNull(silent.get(0).readLine());
      try (Peers.Client client = rig.client()) {
        assertEquals("VA 5 O1", client.read("1").readLine());
      }
    } finally {
      for (Peers.Client client : silent) {
        client.close();
      }
    }
  }

  @Test
  void keepsConnectionWithOpenRequestAtLimit() throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = new Peers.Rig(limits(1, LONG_NANOS, LONG_NANOS), server);
        Peers.Client first = rig.client()) {
      first.read("1");
      Peers.await("the request is sent", () -> server.lines.size() == 1);
      try (Peers.Client second = rig.client()) {
        assertEquals("SERVER_ERROR busy", second.readLine());
        assertNull(second.readLine());
      }
      server
          .connections
          .get(0)
          .getOutputStream()
          .write(Peers.successReply(server.lines.get(0)).getBytes());
      assertEquals("VA 5 O1", first.readLine());
    }
  }

  @Test
  void refusesCommandsBeyondLimitPerConnection() throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = new Peers.Rig(limits(9, LONG_NANOS, LONG_NANOS), server);
        Peers.Client client = rig.client();
        Peers.Client other = rig.client()) {
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < 100; i++) {
        all.append("mg key-" + i + " v O" + i + " Pc=read,d=300\r\n");
      }
      client.send(all.toString());
      int busy = 0;
      for (int i = 0; i < 100; i++) {
        busy += client.readLine().equals("SERVER_ERROR busy") ? 1 : 0;
      }
      assertTrue(busy >= 68, busy + " refused");
      server.script = Peers::successReply;
      assertEquals("VA 5 Olast", other.read("last").readLine());
    }
  }

  @Test
  void closesConnectionAfterRepeatedInvalidCommands() throws Exception {
    try (Peers.Rig rig = new Peers.Rig(limits(9, LONG_NANOS, LONG_NANOS));
        Peers.Client client = rig.client()) {
      client.send("what\r\n".repeat(100));
      for (int i = 0; i < 16; i++) {
        assertEquals("ERROR", client.readLine());
      }
      assertNull(client.readLine());
    }
  }

  @Test
  void pipelinedCommandsSplitAcrossReadsDoNotTimeOut() throws Exception {
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Rig rig = new Peers.Rig(limits(9, 3 * SHORT_NANOS, LONG_NANOS), server);
        Peers.Client client = rig.client()) {
      client.send("mg ");
      long until = System.nanoTime() + 6 * SHORT_NANOS;
      for (int i = 0; System.nanoTime() - until < 0; i++) {
        client.send("key v O" + i + " Pc=read,d=5000\r\nmg ");
        assertEquals("VA 5 O" + i, client.readLine());
        assertEquals("hello", client.readLine());
        Thread.sleep(5);
      }
    }
  }
}
