package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.node.PausingServer.Piece;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Hundreds of slow clients at once: the process stays within its memory by the kernel's figure, and
 * usual clients are served. Incident 3cc17f.
 */
class SlowClientsMemoryTest {
  private static final int MEMORY_MB = 96;
  private static final int SOCKETS = 512;
  private static final int SERVERS = 4;
  private static final int SLOW_CLIENTS = 240;
  private static final int USUAL_CLIENTS = 8;
  private static final int VALUE_BYTES = 62_000;
  private static final int LARGE_VALUE_BYTES = 300_000;
  private static final int MANY_READS = 320;
  private static final int READS_AT_ONCE = 32;
  private static final long PLAY_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Time between two pieces of what a slow client sends. */
  private static final int PIECE_INTERVAL_MILLIS = 200;

  /** How much the process may grow beyond its size at rest: an eighth of its memory. */
  private static final long MAX_GROWTH_KB = MEMORY_MB * 1024 / 8;

  /** The memory options of the deployment's run command. */
  private static final List<String> JVM_OPTIONS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Xss512k",
          "-Xms32m",
          "-Xmx32m",
          "-Xmn12m",
          "-XX:+AlwaysPreTouch",
          "-XX:MaxDirectMemorySize=32m",
          "-XX:ReservedCodeCacheSize=24m");

  @TempDir Path folder;

  private final AtomicInteger served = new AtomicInteger();

  /** What the slow clients do. */
  enum Slowness {
    READ_ANSWERS_SLOWLY,
    READ_LARGE_VALUES_SLOWLY,
    STOP_WITHIN_A_WRITE,
    SEND_MANY_SHORT_FIELDS,
    ALL
  }

  private static void slowClient(Slowness slowness, Peers.Client client, int number, long end)
      throws Exception {
    switch (slowness) {
      case READ_ANSWERS_SLOWLY -> readSlowly("long", client, number, end);
      case READ_LARGE_VALUES_SLOWLY -> readSlowly("large", client, number, end);
      case STOP_WITHIN_A_WRITE -> {
        client.send("ms k%d 65000 Os%d Pc=put,d=2000\r\n".formatted(number, number));
        client.send("x".repeat(64_000));
      }
      case SEND_MANY_SHORT_FIELDS -> {
        client.send("mg k v Os%d Pc=read,d=2000".formatted(number));
        while (System.nanoTime() - end < 0) {
          client.send(",a=1".repeat(300));
          TimeUnit.MILLISECONDS.sleep(PIECE_INTERVAL_MILLIS);
        }
      }
      default -> slowClient(Slowness.values()[number % 4], client, number, end);
    }
  }

  /** Asks for many values at once, and reads hardly any of them. */
  private static void readSlowly(String key, Peers.Client client, int number, long end)
      throws Exception {
    for (int batch = 0; batch < MANY_READS / READS_AT_ONCE; batch++) {
      StringBuilder reads = new StringBuilder();
      for (int i = 0; i < READS_AT_ONCE; i++) {
        reads.append(
            "mg %s-%d v Os%d-%d-%d Pc=read,d=2000\r\n".formatted(key, i, number, batch, i));
      }
      client.send(reads.toString());
      TimeUnit.MILLISECONDS.sleep(PIECE_INTERVAL_MILLIS);
      client.readBytes(1000);
      if (System.nanoTime() - end > 0) {
        return;
      }
    }
  }

  private static List<Piece> answer(String command) {
    if (!command.startsWith("mg l")) {
      return List.of(new Piece(2, Peers.successReply(command)));
    }
    int length = command.startsWith("mg large-") ? LARGE_VALUE_BYTES : VALUE_BYTES;
    String head = "VA " + length + " O" + Peers.flagValue(command, 'O') + " h1\r\n";
    return List.of(new Piece(2, head + "v".repeat(length) + "\r\n"));
  }

  private static long peakKilobytes(Process process) throws IOException {
    return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
        .filter(line -> line.startsWith("VmHWM:"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
        .findFirst()
        .orElseThrow();
  }

  private Void usualClient(InetSocketAddress address, int number, long end) throws Exception {
    try (Peers.Client client = new Peers.Client(address)) {
      for (int i = 0; System.nanoTime() - end < 0; i++) {
        client.send("mg key-%d v Ou%d-%d Pc=read,d=2000\r\n".formatted(i % 20, number, i));
        String line = client.readLine();
        assertThat(line).as("usual request").isNotNull();
        if (line.startsWith("VA ")) {
          client.readLine();
          served.incrementAndGet();
        }
        TimeUnit.MILLISECONDS.sleep(20);
      }
    }
    return null;
  }

  @ParameterizedTest
  @EnumSource
  void slowClientsLeaveTheProcessWithinItsMemory(Slowness slowness) throws Exception {
    List<PausingServer> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      servers.add(new PausingServer("s-" + i, SlowClientsMemoryTest::answer));
    }
    String list =
        "{\"version\":40,\"full\":true,\"servers\":[%s]}"
            .formatted(
                servers.stream().map(PausingServer::listEntry).collect(Collectors.joining(",")));
    ScriptedDiscovery discovery = new ScriptedDiscovery(list);
    ServeProcess node = new ServeProcess(folder, "slow");
    node.limits(MEMORY_MB, SOCKETS);
    node.configure("127.0.0.1:0", "", discovery.address(), 1, list);
    Process process = node.launch(JVM_OPTIONS);
    ExecutorService clients = Executors.newCachedThreadPool();
    List<Peers.Client> slow = new ArrayList<>();
    try {
      Peers.await("the node tells its address", () -> node.listenAddress() != null);
      InetSocketAddress address = node.listenAddress();
      usualClient(address, -1, System.nanoTime() + PLAY_NANOS / 5);
      long before = peakKilobytes(process);
      served.set(0);
      long end = System.nanoTime() + PLAY_NANOS;
      List<Future<?>> usual = new ArrayList<>();
      for (int i = 0; i < USUAL_CLIENTS; i++) {
        int number = i;
        usual.add(clients.submit(() -> usualClient(address, number, end)));
      }
      for (int i = 0; i < SLOW_CLIENTS; i++) {
        int number = i;
        Peers.Client client = new Peers.Client(address, 4096);
        slow.add(client);
        clients.submit(
            () -> {
              slowClient(slowness, client, number, end);
              return null;
            });
      }
      for (Future<?> client : usual) {
        client.get(1, TimeUnit.MINUTES);
      }
      long growth = peakKilobytes(process) - before;
      String figures =
          "%s: peak %d kB before, %d kB more beside %d slow clients, %d usual requests served, closes %s"
              .formatted(slowness, before, growth, SLOW_CLIENTS, served.get(), closes(node));
      System.out.println(figures);
      assertThat(process.isAlive()).as(figures).isTrue();
      assertThat(growth).as(figures).isLessThanOrEqualTo(MAX_GROWTH_KB);
      assertThat(served.get()).as(figures).isPositive();
    } finally {
      clients.shutdownNow();
      for (Peers.Client client : slow) {
        client.close();
      }
      process.destroyForcibly().onExit().join();
      discovery.close();
      for (PausingServer server : servers) {
        server.close();
      }
    }
  }

  private static String closes(ServeProcess node) throws Exception {
    var closes = node.status().nested("client_closes");
    return "%.0f answers_unread, %.0f rejected, %.0f evicted"
        .formatted(
            closes.number("answers_unread", 0),
            closes.number("rejected", 0),
            closes.number("evicted", 0));
  }
}
