package beamspread.node;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertEquals;

import beamspread.LeakCheck;
import beamspread.model.Settings;
import beamspread.node.client.ClientConnections;
import beamspread.node.wire.Json;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What shows that a refusal is the answer to an attempt that must not run twice, and what not. */
@ExtendWith(LeakCheck.class)
class RefusalProofTest {
  private static final String REFUSAL = "SERVER_ERROR busy\r\n";

  /** A node before two servers that answer nothing by themselves, and a client. */
  private static final class Scenario implements AutoCloseable {
    final Peers.Server one = new Peers.Server(line -> null);
    final Peers.Server other = new Peers.Server(line -> null);
    final Peers.Rig rig;
    final Peers.Client client;

    Scenario(boolean parallelAttempts) throws Exception {
      Settings settings =
          Peers.settings(
              new Settings.Limits(
                  6, parallelAttempts, true, false, false, false, 1, 2, 60, 32, 20000));
      rig =
          new Peers.Rig(
              settings, Peers.poolSettings(settings, 256), new Peers.Server(l -> null), one, other);
      client = rig.client();
    }

    /** Returns the server that receives the only copy of a request. */
    Peers.Server awaitFirstCopy() throws InterruptedException {
      Peers.await("a server has it", () -> one.lines.size() + other.lines.size() == 1);
      return one.lines.isEmpty() ? other : one;
    }

    String statusOfReplies() {
      return Json.object(json -> rig.node.status().replies().write(json));
    }

    Peers.Server otherThan(Peers.Server server) {
      return server == one ? other : one;
    }

    @Override
    public void close() throws IOException {
      client.close();
      rig.close();
      one.close();
      other.close();
    }
  }

  @Test
  void answerBehindUnsolicitedLineIsServed() throws Exception {
    try (Scenario scenario = new Scenario(true)) {
      scenario.client.write("1");
      Peers.Server server = scenario.awaitFirstCopy();
      server.sendUnsolicited(0, "SERVER_ERROR busy");
      Peers.await("the node asks for proof", () -> server.noOps.get() > 1);
      server.send(0, Peers.successReply(server.lines.get(0)));
      assertEquals("HD O1 c77", scenario.client.readLine());
      assertThat(scenario.otherThan(server).lines).isEmpty();
    }
  }

  @Test
  void refusalBeforeNoOpReplyIsSentOn() throws Exception {
    try (Scenario scenario = new Scenario(true)) {
      scenario.client.write("1");
      Peers.Server server = scenario.awaitFirstCopy();
      scenario.otherThan(server).script = Peers::successReply;
      server.send(0, REFUSAL);
      assertEquals("HD O1 c77", scenario.client.readLine());
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void refusalIsSentOnIfServerClosesButNotIfItResets(boolean reset) throws Exception {
    try (Scenario scenario = new Scenario(true)) {
      scenario.client.write("1");
      Peers.Server server = scenario.awaitFirstCopy();
      scenario.otherThan(server).script = Peers::successReply;
      server.send(0, REFUSAL);
      server.closeConnectionOf(0, reset);
      assertEquals(reset ? "SERVER_ERROR failed" : "HD O1 c77", scenario.client.readLine());
    }
  }

  @Test
  void closeBehindRefusalProvesNothingOnceLinesWereUnsolicited() throws Exception {
    try (Scenario scenario = new Scenario(true)) {
      scenario.client.write("1");
      Peers.Server server = scenario.awaitFirstCopy();
      server.sendUnsolicited(0, "ERROR");
      server.send(0, Peers.successReply(server.lines.get(0)));
      assertEquals("HD O1 c77", scenario.client.readLine());
      scenario.client.write("2");
      Peers.await(
          "a server has it", () -> scenario.one.lines.size() + scenario.other.lines.size() > 1);
      Peers.Server second =
          scenario.one.lines.stream().anyMatch(line -> line.contains(" O2 "))
              ? scenario.one
              : scenario.other;
      scenario.otherThan(second).script = Peers::successReply;
      int index = second.lines.size() - 1;
      second.send(index, REFUSAL);
      second.closeConnectionOf(index, false);
      assertEquals("SERVER_ERROR failed", scenario.client.readLine());
      assertThat(scenario.one.lines.size() + scenario.other.lines.size()).isEqualTo(2);
    }
  }

  @Test
  void safeRequestHasNoSecondCopyBesideOneThatRunsWhereThatIsForbidden() throws Exception {
    try (Scenario scenario = new Scenario(false)) {
      scenario.client.read("1");
      Peers.Server server = scenario.awaitFirstCopy();
      server.sendUnsolicited(0, "SERVER_ERROR busy 15");
      Peers.await("the node asks for proof", () -> server.noOps.get() > 1);
      server.send(0, Peers.successReply(server.lines.get(0)));
      assertEquals("VA 5 O1", scenario.client.readLine());
      assertThat(scenario.otherThan(server).lines).isEmpty();
    }
  }

  @Test
  void statusCountsRepliesThatAnswerNothing() throws Exception {
    try (Scenario scenario = new Scenario(true)) {
      scenario.client.write("1");
      Peers.Server server = scenario.awaitFirstCopy();
      server.sendUnsolicited(0, "ERROR");
      server.send(0, Peers.successReply(server.lines.get(0)));
      assertEquals("HD O1 c77", scenario.client.readLine());
      Peers.await(
          "it is counted",
          () -> scenario.statusOfReplies().contains("\"replies\":{\"unsolicited\":1,"));
    }
  }

  @ParameterizedTest
  @CsvSource({"put,SERVER_ERROR failed", "keyed,SERVER_ERROR busy"})
  void noCopyIsSentAfterRefusalsThatNothingProves(String serviceClass, String answer)
      throws Exception {
    try (Scenario scenario = new Scenario(true)) {
      scenario.client.send("ms key-1 5 O1 Pc=" + serviceClass + ",d=300,k=1\r\nworld\r\n");
      Peers.Server server = scenario.awaitFirstCopy();
      for (String line : List.of("SERVER_ERROR busy", "ERROR", "SERVER_ERROR busy 3")) {
        server.sendUnsolicited(0, line);
      }
      // All servers drop repeats of the keyed class, so that its clients may repeat the request.
      assertEquals(answer, scenario.client.readLine());
      assertThat(scenario.otherThan(server).lines).isEmpty();
    }
  }

  @Test
  void floodOfLinesThatAnswerNothingEndsItsConnection() throws Exception {
    try (Scenario scenario = new Scenario(true)) {
      scenario.client.write("1");
      Peers.Server server = scenario.awaitFirstCopy();
      server.sendUnsolicited(0, REFUSAL.repeat(100).strip());
      // Long before its deadline.
      Peers.await("the connection has ended", () -> server.connections.isEmpty());
      assertEquals("SERVER_ERROR failed", scenario.client.readLine());
      assertThat(scenario.otherThan(server).lines).isEmpty();
      assertThat(scenario.statusOfReplies()).contains("\"unsolicited\":16,");
    }
  }

  /** The lines stand where the refusal of a new connection would, but came before the request. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void closeBehindLinesFromBeforeTheRequestProvesNothing(int lines) throws Exception {
    List<String> begun = new CopyOnWriteArrayList<>();
    try (ServerSocket lying = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Peers.Server good = new Peers.Server(Peers::successReply);
        Peers.Rig rig =
            new Peers.Rig(
                ClientConnections.Limits.defaults(50),
                64,
                List.of((InetSocketAddress) lying.getLocalSocketAddress(), good.address()));
        Peers.Client client = rig.client()) {
      Thread server = new Thread(() -> refuseFirstThenRun(lying, lines, begun));
      server.setDaemon(true);
      server.start();
      List<String> failed = new ArrayList<>();
      for (int i = 0; i < 100 && failed.isEmpty(); i++) {
        String answer = client.write(Integer.toString(i)).readLine();
        if (!answer.equals("HD O" + i + " c77")) {
          assertEquals("SERVER_ERROR failed", answer);
          failed.add(Integer.toString(i));
        }
      }
      assertThat(failed).isEqualTo(begun).isNotEmpty();
    }
  }

  /** Refuses each connection before it reads a request, and closes it while the request runs. */
  private static void refuseFirstThenRun(ServerSocket listener, int lines, List<String> begun) {
    try {
      while (true) {
        try (Socket socket = listener.accept()) {
          socket.getOutputStream().write(REFUSAL.repeat(lines).getBytes(US_ASCII));
          BufferedReader in =
              new BufferedReader(new InputStreamReader(socket.getInputStream(), US_ASCII));
          String line = in.readLine();
          while (line != null && !line.startsWith("ms ")) {
            line = in.readLine();
          }
          if (line != null) {
            in.readLine();
            begun.add(Peers.flagValue(line, 'O'));
          }
        }
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }
}
