package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.LeakCheck;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a request that runs twice because its id comes again at the other process of an
 * upgrade. The two nodes share the folder, as two processes of one node do.
 */
@ExtendWith(LeakCheck.class)
class IdsOfTwoProcessesTest {
  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
  private static final String IN_USE = "CLIENT_ERROR id in use";

  @TempDir Path temporary;

  private Peers.Rig process(Peers.Server discovery, Peers.Server server) throws Exception {
    return new Peers.Rig(
        ANY_PORT,
        new NodeConfig.Management(ANY_PORT, null, temporary.resolve("shared")),
        discovery,
        server);
  }

  private static String unansweredWrites(String command) {
    return command.startsWith("ms") ? null : Peers.successReply(command);
  }

  private static long sent(Peers.Server server, String id) {
    return server.lines.stream().filter(line -> Peers.flagValue(line, 'O').equals(id)).count();
  }

  @Test
  void anOpenRequestsIdIsInUseAtTheOtherProcessInBothDirections() throws Exception {
    try (Peers.Server server = new Peers.Server(IdsOfTwoProcessesTest::unansweredWrites);
        Peers.Server discovery = Peers.discovery(1, server);
        Peers.Rig predecessor = process(discovery, server);
        Peers.Rig successor = process(discovery, server)) {
      for (List<Peers.Rig> pair :
          List.of(List.of(predecessor, successor), List.of(successor, predecessor))) {
        String id = "w" + pair.indexOf(predecessor);
        try (Peers.Client usual = pair.get(0).client();
            Peers.Client bad = pair.get(1).client()) {
          usual.write(id);
          Peers.await("the write is sent", () -> sent(server, id) == 1);
          assertThat(bad.write(id).readLine()).isEqualTo(IN_USE);
          String line = server.lines.get(server.lines.size() - 1);
          server.send(line, Peers.successReply(line));
          assertThat(usual.readLine()).isEqualTo("HD O" + id + " c77");
          assertThat(sent(server, id)).isEqualTo(1);
        }
      }
    }
  }

  @Test
  void anIdWhoseClientHasLeftIsInUseAtTheOtherProcess() throws Exception {
    try (Peers.Server server = new Peers.Server(IdsOfTwoProcessesTest::unansweredWrites);
        Peers.Server discovery = Peers.discovery(1, server);
        Peers.Rig predecessor = process(discovery, server);
        Peers.Rig successor = process(discovery, server);
        Peers.Client bad = successor.client()) {
      Peers.Client usual = predecessor.client();
      usual.write("w");
      Peers.await("the write is sent", () -> sent(server, "w") == 1);
      usual.disconnect();
      Peers.await("its client has left", () -> predecessor.node.openRequests() == 0);
      assertThat(bad.write("w").readLine()).isEqualTo(IN_USE);
      predecessor.node.close();
      assertThat(bad.write("w").readLine()).as("its process has ended").isEqualTo(IN_USE);
      assertThat(sent(server, "w")).isEqualTo(1);
    }
  }

  @Test
  void anIdThatWasAnsweredMayComeAgainAtEitherProcess() throws Exception {
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Server discovery = Peers.discovery(1, server);
        Peers.Rig predecessor = process(discovery, server);
        Peers.Rig successor = process(discovery, server)) {
      for (Peers.Rig rig : List.of(predecessor, successor, predecessor)) {
        try (Peers.Client client = rig.client()) {
          assertThat(client.write("w").readLine()).isEqualTo("HD Ow c77");
        }
      }
    }
  }
}
