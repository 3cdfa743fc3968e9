package beamspread.replay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beamspread.lab.Demand;
import beamspread.lab.Experiment;
import beamspread.lab.Fleet;
import beamspread.lab.PoissonDemand;
import beamspread.lab.Result;
import beamspread.sim.Message;
import beamspread.sim.MessageConverter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Real nodes as processes, before stand-in boxes; how near the model comes is no test's matter. */
class ReplayTest {
  @TempDir private Path folder;

  private Fleet fleet(String toml) throws Exception {
    Path file = folder.resolve("lab.toml");
    Files.writeString(file, toml);
    return Experiment.read(file).fleet("base");
  }

  private final class NodeOfClasses implements ReplayNodes.Running {
    private final Process process;
    private final InetSocketAddress address;

    NodeOfClasses(int number, String config, String pool) throws IOException, InterruptedException {
      try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
      }
      Path poolFile = folder.resolve("pool" + number + ".json");
      Files.writeString(poolFile, pool);
      Path file = folder.resolve("node" + number + ".json");
      Files.writeString(
          file,
          config
              .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port() + "\"")
              .replaceFirst("\\{", "{\"pool_file\":\"" + poolFile + "\","));
      ProcessBuilder builder =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-XX:TieredStopAtLevel=1",
                  "-Xmx32m",
                  "-cp",
                  System.getProperty("java.class.path"),
                  "beamspread.Main",
                  "serve")
              .redirectErrorStream(true)
              .redirectOutput(folder.resolve("node" + number + ".log").toFile());
      builder.environment().put("ROUTER_CONFIG", file.toString());
      process = builder.start();
      for (int i = 0; i < 3000 && !listens(); i++) {
        if (!process.isAlive()) {
          throw new IOException(Files.readString(folder.resolve("node" + number + ".log")));
        }
        TimeUnit.MILLISECONDS.sleep(10);
      }
    }

    private int port() {
      return address.getPort();
    }

    private boolean listens() {
      try (Socket socket = new Socket(address.getAddress(), port())) {
        return socket.isConnected();
      } catch (IOException e) {
        return false;
      }
    }

    @Override
    public InetSocketAddress address() {
      return address;
    }

    @Override
    public void kill() {
      process.destroyForcibly().onExit().join();
    }
  }

  @Test
  void eachRequestHasItsEndThoughANodeDiesABoxRestartsAndTheDatabaseIsSlow() throws Exception {
    Fleet fleet =
        fleet(
            """
            [load]
            rate = 100
            [[fault]]
            kind = "node-dies"
            node = 1
            at_s = 0.7
            lasts_s = 0.5
            [[fault]]
            kind = "box-restarts"
            box = 2
            at_s = 1
            lasts_s = 0.5
            [[fault]]
            kind = "box-drains"
            box = 3
            at_s = 0.2
            lasts_s = 0.9
            [[fault]]
            kind = "origin-slow"
            at_s = 0.5
            lasts_s = 0.3
            """);
    Result result;
    try (Replay replay = new Replay(fleet, 5, NodeOfClasses::new)) {
      result = replay.run(0.5, 2);
    }
    long asked = 0;
    Demand demand = new PoissonDemand(fleet.load(), 5);
    for (Demand.Ask ask = demand.next(); ask.at() < 2_500_000_000L; ask = demand.next()) {
      asked += ask.at() >= 500_000_000L ? 1 : 0;
    }
    assertThat(result.offered()).isEqualTo(asked);
    assertThat(result.onTime() + result.late() + result.refused() + result.failed())
        .isEqualTo(asked);
    assertThat(result.onTime() + result.late()).isGreaterThan(asked / 4);
    assertThat(result.attempts()).isPositive();
    assertThat(result.fetches()).isPositive();
  }

  @Test
  void whatABrokenConnectionLeavesOpenIsTriedAgainOrEndsAtOnce() throws Exception {
    Fleet fleet = fleet("[load]\nrate = 100\n");
    List<ServerSocket> listeners = new CopyOnWriteArrayList<>();
    ReplayNodes closing =
        (number, config, pool) -> {
          ServerSocket listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
          listeners.add(listener);
          Thread thread =
              new Thread(
                  () -> {
                    try {
                      while (true) {
                        try (Socket socket = listener.accept()) {
                          socket.getInputStream().read();
                        }
                      }
                    } catch (IOException e) {
                      // The test has ended.
                    }
                  });
          thread.start();
          return new ReplayNodes.Running() {
            @Override
            public InetSocketAddress address() {
              return (InetSocketAddress) listener.getLocalSocketAddress();
            }

            @Override
            public void kill() {
              try {
                listener.close();
              } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
              }
            }
          };
        };
    Result result;
    try (Replay replay = new Replay(fleet, 6, closing)) {
      result = replay.run(0, 1);
    }
    assertThat(result.failed()).isEqualTo(result.offered()).isPositive();
    assertThat(result.lost()).isZero();
    assertThat(listeners).hasSize(2).allMatch(ServerSocket::isClosed);
  }

  @Test
  void aNodeThatDoesNotStartIsToldOf() throws Exception {
    Fleet fleet = fleet("");
    ReplayNodes broken =
        (number, config, pool) -> {
          throw new IOException("no such jar");
        };
    try (Replay replay = new Replay(fleet, 5, broken)) {
      assertThatThrownBy(() -> replay.run(0, 1))
          .isInstanceOf(IOException.class)
          .hasMessageContaining("a node did not start: no such jar");
    }
  }

  @Test
  void aRealNodeIsToldWhatTheModelsIs() throws Exception {
    Fleet fleet = fleet("[fleet]\nnodes = 3\nzones = 2\n");
    for (int i = 0; i < 3; i++) {
      Message words =
          Message.parse(beamspread.fleet.api.Json.text(NodeText.settings(fleet.settings(i))));
      assertThat(MessageConverter.settings(words)).isEqualTo(fleet.settings(i));
    }
  }

  private static Result result(double worth, long late, double p50, double p99) {
    return new Result(
        1000, 900, late, 0, 0, 0, 0, 0, 0, worth, p50, p99, 1, 0, 0, 0, 0, null, List.of());
  }

  @Test
  void aPredictionIsJudgedByTheMeansAndAHandfulOfLateAnswersByNobody() {
    List<Result> model = List.of(result(0.9, 4, 20, 100), result(0.9, 4, 22, 130));
    List<Result> seen = List.of(result(0.95, 2, 20, 100), result(0.85, 2, 21, 100));
    List<Prediction> found = Prediction.of(model, seen, 0.1);
    assertThat(found)
        .extracting(Prediction::figure)
        .containsExactly("worth", "late", "p50_ms", "p99_ms");
    assertThat(found).extracting(Prediction::holds).containsExactly(true, true, true, false);
    assertThat(found.get(3).apart()).isCloseTo(0.15, org.assertj.core.api.Assertions.within(1e-9));
    assertThat(found.get(0).lowest()).isEqualTo(0.85);
  }
}
