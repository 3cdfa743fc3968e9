package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.node.PausingServer.Piece;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Clients that send much at once and leave: no attempt for them begins long after their close, and
 * those that stay get all their answers. Incident 3cc17f, issue 67.
 *
 * <p>The long run: {@code mvn test -Dtest=LeavingClientTest -Dseeds=50 -Dseed=1000}.
 */
class LeavingClientTest {
  private static final int SERVERS = 8;
  private static final int CLIENTS = 12;
  private static final int READS = 300;
  private static final int MAX_WRITES = 9;
  private static final int VALUE_BYTES = 1 << 16;
  private static final int CLIENT_INTERVAL_MILLIS = 100;

  /** How long a server needs for a key that it does not hold, and at most for another. */
  private static final int FETCH_MILLIS = 300;

  private static final int HIT_MILLIS = 60;

  /** Time after a client's close in which attempts for it may begin. */
  private static final long MAX_LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private static final long SEED = Long.getLong("seed", 6701);
  private static final int SEEDS = Integer.getInteger("seeds", 2);

  @TempDir Path folder;

  private final Map<String, Long> closedAt = new ConcurrentHashMap<>();
  private final AtomicInteger attempts = new AtomicInteger();
  private final List<String> late = new ArrayList<>();

  /** A server that needs long for the first read of each key, with its attempts recorded. */
  private PausingServer server(int number) throws IOException {
    Set<String> cached = ConcurrentHashMap.newKeySet();
    return new PausingServer(
        "s-" + number,
        command -> {
          recordAttempt(Peers.flagValue(command, 'O'));
          boolean slow = command.startsWith("mg") && cached.add(command.split(" ")[1]);
          return List.of(new Piece(slow ? FETCH_MILLIS : HIT_MILLIS, Peers.successReply(command)));
        });
  }

  private synchronized void recordAttempt(String id) {
    attempts.incrementAndGet();
    Long closed = closedAt.get(id.split("-")[0]);
    long nanos = closed == null ? 0 : System.nanoTime() - closed;
    if (nanos > MAX_LATE_NANOS) {
      late.add(id + " " + nanos / 1_000_000 + " ms after the close");
    }
  }

  private static String commands(String name, int writes) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < READS; i++) {
      text.append("mg new-%s v O%s-%d Pc=read,d=2000\r\n".formatted(name, name, i));
    }
    String value = "x".repeat(VALUE_BYTES);
    for (int i = 0; i < writes; i++) {
      text.append(
          "ms new-%s %d O%s-w%d Pc=put,d=1000\r\n%s\r\n"
              .formatted(name, VALUE_BYTES, name, i, value));
    }
    return text.toString();
  }

  private interface Scene {
    void play(InetSocketAddress node, long seed) throws Exception;
  }

  private void play(long seed, Scene scene) throws Exception {
    List<PausingServer> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      servers.add(server(i));
    }
    String list =
        "{\"version\":40,\"full\":true,\"servers\":[%s]}"
            .formatted(
                servers.stream().map(PausingServer::listEntry).collect(Collectors.joining(",")));
    ScriptedDiscovery discovery = new ScriptedDiscovery(list);
    ServeProcess node = new ServeProcess(folder, "n" + seed);
    node.configure("127.0.0.1:0", "", discovery.address(), 1, list);
    Process process = node.launch();
    try {
      Peers.await("the node tells its address", () -> node.listenAddress() != null);
      scene.play(node.listenAddress(), seed);
    } finally {
      process.destroyForcibly().onExit().join();
      discovery.close();
      for (PausingServer server : servers) {
        server.close();
      }
    }
  }

  private void sendMuchAndLeave(InetSocketAddress node, long seed) throws Exception {
    Random random = new Random(seed);
    for (int i = 0; i < CLIENTS; i++) {
      String name = seed + "c" + i;
      Peers.Client client = new Peers.Client(node);
      try {
        client.send(commands(name, MAX_WRITES - random.nextInt(4)));
      } catch (IOException e) {
        // The node has rejected it already.
      }
      if (random.nextInt(4) == 0) {
        client.reset();
      } else {
        client.disconnect();
      }
      closedAt.put(name, System.nanoTime());
      TimeUnit.MILLISECONDS.sleep(CLIENT_INTERVAL_MILLIS);
    }
    TimeUnit.MILLISECONDS.sleep(3 * FETCH_MILLIS);
  }

  @Test
  void noAttemptBeginsLongAfterTheCloseOfAClientThatSentMuch() throws Exception {
    for (long seed = SEED; seed < SEED + SEEDS; seed++) {
      play(seed, this::sendMuchAndLeave);
      System.out.println("seed " + seed + ": " + attempts + " attempts, late ones: " + late);
      assertThat(attempts.get()).as("seed %d", seed).isPositive();
      assertThat(late).as("seed %d", seed).isEmpty();
    }
  }

  /** The effect may have been done; a client that repeats the id must not have it done again. */
  @Test
  void anIdThatComesAgainAfterItsClientHasLeftDoesNotRunTwice() throws Exception {
    play(
        1,
        (node, seed) -> {
          for (String serviceClass : List.of("put", "keyed")) {
            String write =
                "ms key 5 Oagain-%s Pc=%s,d=1000,k=1\r\nworld\r\n"
                    .formatted(serviceClass, serviceClass);
            int before = attempts.get();
            try (Peers.Client leaving = new Peers.Client(node)) {
              leaving.send(write);
              Peers.await("it is sent", () -> attempts.get() > before);
            }
            for (int i = 0; i < 2; i++) {
              TimeUnit.MILLISECONDS.sleep(3 * HIT_MILLIS);
              try (Peers.Client again = new Peers.Client(node)) {
                assertThat(again.send(write).readLine()).isEqualTo("CLIENT_ERROR id in use");
              }
            }
            assertThat(attempts.get()).isEqualTo(before + 1);
          }
        });
  }

  /** A client that sends too much is rejected, with an answer to each command up to there. */
  @Test
  void aClientThatSendsMuchAndStaysIsAnswered() throws Exception {
    play(
        1,
        (node, seed) -> {
          try (Peers.Client client = new Peers.Client(node)) {
            Thread sender =
                new Thread(
                    () -> {
                      try {
                        client.send(commands("1c0", MAX_WRITES));
                      } catch (IOException e) {
                        // The node has rejected it already.
                      }
                    });
            sender.start();
            int answers = 0;
            String last = "";
            for (String line = client.readLine(); line != null; line = client.readLine()) {
              last = line;
              if (line.startsWith("VA ")) {
                client.readLine();
              }
              answers++;
            }
            sender.join();
            assertThat(last).startsWith("SERVER_ERROR too many commands");
            assertThat(answers).isGreaterThan(READS / 2);
          }
        });
  }
}
