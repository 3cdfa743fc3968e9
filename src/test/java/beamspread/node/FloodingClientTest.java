package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A node process of which one client connection takes all it gives: the others are served as
 * without it. Incident 3cc17f.
 */
class FloodingClientTest {
  private static final int USUAL_CLIENTS = 20;
  private static final int USUAL_PAUSE_MILLIS = 40;
  private static final long PLAY_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final int COMMANDS_PER_WRITE = 500;

  /** Part of the answers without a flood that usual clients get beside one. */
  private static final double MIN_PART_OF_ANSWERS = 0.9;

  @TempDir Path folder;

  /** What the flooding client sends. */
  enum Flood {
    NO_OPS(number -> "mn\r\n"),
    READS(number -> "mg key-%d v Of%d Pc=read,d=2000\r\n".formatted(number % 50, number)),
    NEW_CLASSES(
        number ->
            "mg key v Oc%d Pc=class-%d,t=tenant-%d,d=9\r\n".formatted(number, number, number)),
    UNSOUND_BETWEEN_NO_OPS(number -> number % 2 == 0 ? "mn\r\n" : "noise " + number + "\r\n");

    private final IntFunction<String> command;

    Flood(IntFunction<String> command) {
      this.command = command;
    }
  }

  /** One node process before a cache server. */
  private final class Scenario implements AutoCloseable {
    private final ExecutorService clients = Executors.newCachedThreadPool();
    private final Peers.Server server = new Peers.Server(Peers::successReply);
    private final Peers.Server discovery = Peers.discovery(41, server);
    private final Process process;
    private final InetSocketAddress address;
    private final AtomicLong longestMillis = new AtomicLong();
    private final AtomicInteger sent = new AtomicInteger();

    Scenario() throws Exception {
      ServeProcess node = new ServeProcess(folder, "n");
      node.configure("127.0.0.1:0", "", discovery, server);
      process = node.launch();
      Peers.await("the node tells its address", () -> node.listenAddress() != null);
      address = node.listenAddress();
    }

    /** Returns how many answers usual clients get within the time of a play. */
    int usualAnswers(Flood flood) throws Exception {
      longestMillis.set(0);
      long end = System.nanoTime() + PLAY_NANOS;
      List<Future<Integer>> usual = new ArrayList<>();
      for (int i = 0; i < USUAL_CLIENTS; i++) {
        String name = flood + "-" + i;
        usual.add(clients.submit(() -> runUsual(name, end)));
      }
      if (flood != null) {
        clients.submit(() -> flood(flood, end));
      }
      int answers = 0;
      for (Future<Integer> client : usual) {
        answers += client.get(1, TimeUnit.MINUTES);
      }
      return answers;
    }

    private int runUsual(String name, long end) throws Exception {
      int answers = 0;
      try (Peers.Client client = new Peers.Client(address)) {
        for (; System.nanoTime() - end < 0; answers++) {
          long sentAt = System.nanoTime();
          client.send(
              "mg key-%d v Ou%s-%d Pc=read,d=2000\r\n".formatted(answers % 50, name, answers));
          assertThat(client.readLine()).startsWith("VA 5 ");
          client.readLine();
          longestMillis.accumulateAndGet((System.nanoTime() - sentAt) / 1_000_000, Math::max);
          TimeUnit.MILLISECONDS.sleep(USUAL_PAUSE_MILLIS);
        }
      }
      return answers;
    }

    /** Sends commands at full speed, on a new connection when the node has closed the last. */
    private Void flood(Flood flood, long end) throws Exception {
      int number = 0;
      while (System.nanoTime() - end < 0) {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
          clients.submit(() -> drain(socket));
          OutputStream out = socket.getOutputStream();
          while (System.nanoTime() - end < 0) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < COMMANDS_PER_WRITE; i++) {
              text.append(flood.command.apply(number++));
            }
            out.write(text.toString().getBytes(StandardCharsets.US_ASCII));
            sent.set(number);
          }
        } catch (IOException e) {
          // The node has closed the connection.
        }
      }
      return null;
    }

    private Void drain(Socket socket) throws IOException {
      InputStream in = socket.getInputStream();
      byte[] bytes = new byte[1 << 16];
      while (in.read(bytes) >= 0) {
        continue;
      }
      return null;
    }

    @Override
    public void close() throws IOException {
      clients.shutdownNow();
      process.destroyForcibly().onExit().join();
      discovery.close();
      server.close();
    }
  }

  @ParameterizedTest
  @EnumSource
  void oneConnectionAtFullSpeedLeavesTheOthersTheirAnswers(Flood flood) throws Exception {
    try (Scenario scenario = new Scenario()) {
      scenario.usualAnswers(null);
      int without = scenario.usualAnswers(null);
      int beside = scenario.usualAnswers(flood);
      String figures =
          "%s: %d answers without, %d beside %d commands, the longest after %d ms"
              .formatted(flood, without, beside, scenario.sent.get(), scenario.longestMillis.get());
      System.out.println(figures);
      assertThat(beside).as(figures).isGreaterThanOrEqualTo((int) (MIN_PART_OF_ANSWERS * without));
    }
  }
}
