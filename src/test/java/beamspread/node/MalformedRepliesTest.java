package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beamspread.LeakCheck;
import beamspread.node.client.ClientCloseCause;
import beamspread.node.client.ClientConnections;
import beamspread.node.server.CloseCause;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Cache servers that send malformed replies, or more than one reply to a request. */
@ExtendWith(LeakCheck.class)
class MalformedRepliesTest {
  private static final ClientConnections.Limits DEFAULT_LIMITS =
      ClientConnections.Limits.defaults(50);

  /** Answers the first command with a text, in which ID is the request's id; others correctly. */
  private static Function<String, String> firstAnswer(String answer) {
    AtomicInteger count = new AtomicInteger();
    return line ->
        count.getAndIncrement() == 0
            ? answer.replace("ID", Peers.flagValue(line, 'O'))
            : Peers.successReply(line);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "noise\r\n",
        "\u0000\u0001\u0002\n",
        "VA 5 Oother h1\r\nhello\r\n",
        "VA 3 OID h1\r\nhello\r\n",
        "VA 9 OID h1\r\nhello\r\n",
        "VA 3000000000 OID h1\r\nhello",
        "VA 70000 OID h1\r\nhello",
        "VA -5 OID h1\r\nhello\r\n",
        "VA 5 h1\r\nhello\r\n",
        "HD OID c5\r\n",
        "HD OID\r\n",
        "VA 5 OID h",
      })
  void retriesReadAfterMalformedReply(String answer) throws Exception {
    try (Peers.Server server = new Peers.Server(firstAnswer(answer));
        Peers.Rig rig = new Peers.Rig(DEFAULT_LIMITS, server);
        Peers.Client client = rig.client()) {
      assertEquals("VA 5 O1", client.read("1").readLine());
      assertEquals("hello", client.readLine());
      assertEquals(2, server.lines.size());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"VA 5 OID h1\r\nhello\r\n", "HD OID\r\n", "HD Oother c5\r\n", "HD"})
  void failsUnsafeWriteAfterMalformedReply(String answer) throws Exception {
    try (Peers.Server server = new Peers.Server(firstAnswer(answer));
        Peers.Rig rig = new Peers.Rig(DEFAULT_LIMITS, server);
        Peers.Client client = rig.client()) {
      assertEquals("SERVER_ERROR failed", client.write("1").readLine());
      assertEquals("HD O2 c77", client.write("2").readLine());
      assertEquals(2, server.lines.size());
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "VA 5 OID h1\r\nhello\r\nVA 5 OID h1\r\nhello\r\n",
        "VA 5 OID h1\r\nhello\r\nnoise",
        "VA 5 OID h1\r\nhello\r\nnoise\r\n",
        "VA 5 OID h1\r\nhello\r\nHD Oother c1\r\n",
      })
  void extraBytesAfterReplyAffectNoOtherRequest(String answer) throws Exception {
    try (Peers.Server server = new Peers.Server(firstAnswer(answer));
        Peers.Rig rig = new Peers.Rig(DEFAULT_LIMITS, server);
        Peers.Client client = rig.client()) {
      assertEquals("VA 5 O1", client.read("1").readLine());
      assertEquals("hello", client.readLine());
      assertEquals("HD O2 c77", client.write("2").readLine());
      assertEquals(2, server.lines.size());
      Peers.await("the connection is closed", () -> server.connections.size() <= 1);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"L", "L=", "Linflight=x,queue=,util=1e999", "L\u0001\u00ff=,, Oother c9 h0"})
  void ignoresMalformedLoadReport(String report) throws Exception {
    try (Peers.Server server =
            new Peers.Server(firstAnswer("VA 5 OID h1 " + report + "\r\nhello\r\n"));
        Peers.Rig rig = new Peers.Rig(DEFAULT_LIMITS, server);
        Peers.Client client = rig.client()) {
      assertEquals("VA 5 O1", client.read("1").readLine());
      assertEquals("hello", client.readLine());
      assertEquals(1, server.lines.size());
    }
  }

  @Test
  void countsWhyConnectionsEnded() throws Exception {
    try (Peers.Server server = new Peers.Server(firstAnswer("noise\r\n"));
        Peers.Rig rig = new Peers.Rig(DEFAULT_LIMITS, server)) {
      try (Peers.Client client = rig.client()) {
        assertEquals("VA 5 O1", client.read("1").readLine());
      }
      assertEquals(Map.of(CloseCause.INVALID_REPLY, 1L), rig.node.serverClosesByCause());
      try (Peers.Client client = rig.client()) {
        client.send("noise\r\n".repeat(20));
        while (client.readLine() != null) {
          continue;
        }
      }
      Peers.await("both clients have gone", () -> rig.node.clientCount() == 0);
      assertEquals(
          Map.of(ClientCloseCause.BY_CLIENT, 1L, ClientCloseCause.REJECTED, 1L),
          rig.node.clientClosesByCause());
    }
  }

  @Test
  void errorLineDoesNotCloseServerConnection() throws Exception {
    try (Peers.Server server = new Peers.Server(firstAnswer("CLIENT_ERROR what\r\n"));
        Peers.Rig rig = new Peers.Rig(DEFAULT_LIMITS, server);
        Peers.Client client = rig.client()) {
      assertEquals("SERVER_ERROR failed", client.write("1").readLine());
      assertEquals("VA 5 O2", client.read("2").readLine());
      assertEquals(1, server.connections.size());
    }
  }
}
