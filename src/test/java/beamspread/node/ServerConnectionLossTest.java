package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import beamspread.LeakCheck;
import beamspread.model.Settings;
import beamspread.pool.PoolSettings;
import java.util.List;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the answers to clients when the connection to a cache server closes within a reply, right
 * after a reply, or between two replies.
 */
@ExtendWith(LeakCheck.class)
class ServerConnectionLossTest {
  /** One connection to each server, with up to two attempts on it. */
  private static final PoolSettings TWO_ATTEMPTS_PER_CONNECTION =
      new PoolSettings(1, 0, 0, 2, 8, 1, 8, 0, 8, 20_000_000_000L, 0, 20_000_000_000L, 1);

  private static Peers.Rig rig(Peers.Server server) throws Exception {
    Settings settings =
        Peers.settings(new Settings.Limits(6, true, true, false, false, false, 1, 1, 60, 2, 20000));
    return new Peers.Rig(
        settings, TWO_ATTEMPTS_PER_CONNECTION, new Peers.Server(line -> null), server);
  }

  private static String readAnswer(Peers.Client client) throws Exception {
    String line = client.readLine();
    assertNotNull(line, "no answer");
    if (line.startsWith("VA ")) {
      assertEquals("hello", client.readLine());
    }
    return line;
  }

  /**
   * @param bytes the number of bytes of the reply that arrive before the connection closes
   * @param reset whether the connection is closed by a reset
   */
  @ParameterizedTest
  @CsvSource({"1,false", "1,true", "9,false", "9,true", "0,false", "0,true"})
  void connectionClosesWithinReply(int bytes, boolean reset) throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = rig(server);
        Peers.Client reader = rig.client();
        Peers.Client writer = rig.client()) {
      reader.read("1");
      Peers.await("the read is sent", () -> server.lines.size() == 1);
      String line = server.lines.get(0);
      server.send(line, Peers.successReply(line).substring(0, bytes));
      server.script = Peers::successReply;
      server.closeConnectionOf(0, reset);
      assertEquals("VA 5 O1", readAnswer(reader), "a read is sent again");
      server.script = other -> null;
      writer.write("2");
      Peers.await("the write is sent", () -> server.lines.size() == 3);
      server.send(2, Peers.successReply(server.lines.get(2)).substring(0, bytes));
      server.script = Peers::successReply;
      server.closeConnectionOf(2, reset);
      assertEquals("SERVER_ERROR failed", readAnswer(writer), "the write may have run");
      assertEquals(3, server.lines.size(), "a write is not sent again");
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void connectionClosesRightAfterReply(boolean reset) throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = rig(server);
        Peers.Client client = rig.client()) {
      client.write("1");
      Peers.await("the write is sent", () -> server.lines.size() == 1);
      String line = server.lines.get(0);
      server.script = Peers::successReply;
      server.send(line, Peers.successReply(line));
      server.closeConnectionOf(0, reset);
      String first = readAnswer(client);
      // A reset may discard received data: then the result is as if no reply had arrived.
      assertEquals(true, first.equals("HD O1 c77") || reset && first.endsWith("failed"), first);
      assertEquals("HD O2 c77", readAnswer(client.write("2")));
      assertEquals(
          List.of("1", "2"), server.lines.stream().map(l -> Peers.flagValue(l, 'O')).toList());
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void connectionClosesBetweenTwoReplies(boolean reset) throws Exception {
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Rig rig = rig(server);
        Peers.Client first = rig.client();
        Peers.Client second = rig.client()) {
      first.read("1");
      Peers.await("the first is sent", () -> server.lines.size() == 1);
      second.write("2");
      Peers.await("both are open", () -> rig.node.openRequests() == 2);
      Peers.await("the second shares its connection", () -> rig.node.serverSockets() == 1);
      String line = server.lines.get(0);
      server.send(line, Peers.successReply(line));
      assertEquals("VA 5 O1", readAnswer(first));
      Peers.await("the server has read the second", () -> server.lines.size() == 2);
      server.script = Peers::successReply;
      server.closeConnectionOf(0, reset);
      assertEquals("SERVER_ERROR failed", readAnswer(second));
      assertEquals(2, server.lines.size());
    }
  }
}
