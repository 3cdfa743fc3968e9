package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.sim.WireException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A node in a fleet of up to 1,024, with as many cache servers, in the memory of the platform. */
class LargeFleetNodeTest {
  /** The least memory that the platform gives a node on scored days, with a margin. */
  private static final long MAX_RESIDENT_KB = 144 * 1024;

  /** The JVM options of the platform's command line, except for the class data archive. */
  private static final List<String> JVM_OPTIONS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:-UsePerfData",
          "-Xss512k",
          "-Xms32m",
          "-Xmx32m",
          "-Xmn12m",
          "-XX:+AlwaysPreTouch",
          "-XX:MaxDirectMemorySize=32m",
          "-XX:ReservedCodeCacheSize=24m");

  @TempDir Path folder;

  private static String entry(int number, int port) {
    return ("{\"id\":\"s-%d\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"a\",\"kind\":\"box\",\"cell\":%d,"
            + "\"state\":\"active\",\"weight\":1.0,\"started_ms\":0}")
        .formatted(number, port, number % 8);
  }

  private static String list(int version, int count, List<Peers.Server> servers) {
    return IntStream.range(0, count)
        .mapToObj(n -> entry(n, servers.get(n % servers.size()).address().getPort()))
        .collect(
            Collectors.joining(
                ",", "{\"version\":" + version + ",\"full\":true,\"servers\":[", "]}"));
  }

  private static String peers(int count) {
    return IntStream.range(0, count)
        .mapToObj(n -> "\"127.0.0.1:" + (10_000 + n) + "\"")
        .collect(Collectors.joining(",", "\"peers\":[", "],"));
  }

  private static long residentKb(Process process) throws IOException {
    return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
        .filter(line -> line.startsWith("VmRSS:"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
        .findFirst()
        .orElseThrow();
  }

  @ParameterizedTest
  @ValueSource(ints = {60, 200, 1024})
  void servesWithinMemoryLimit(int count) throws Exception {
    List<Peers.Server> servers =
        List.of(
            new Peers.Server(Peers::successReply),
            new Peers.Server(Peers::successReply),
            new Peers.Server(Peers::successReply),
            new Peers.Server(Peers::successReply));
    String answer = Peers.WATCH_RESPONSE_HEAD + Peers.chunk(list(41, count, servers) + "\n");
    ServeProcess node = new ServeProcess(folder, "node");
    try (Peers.Server discovery =
        new Peers.Server(line -> line.startsWith("GET ") ? answer : null)) {
      node.configure("127.0.0.1:0", peers(count), discovery, servers.get(0));
      Files.writeString(
          node.config,
          Files.readString(node.config)
              .replace("\"instances\":1,", "\"instances\":" + count + ","));
      long startedAt = System.nanoTime();
      Process process = node.launch(JVM_OPTIONS);
      try {
        Peers.await("all servers are known", () -> knownServers(node) == count);
        long knownMillis = (System.nanoTime() - startedAt) / 1_000_000;
        String[] at = node.status().requiredText("listen").split(":");
        InetSocketAddress address = new InetSocketAddress(at[0], Integer.parseInt(at[1]));
        try (Peers.Client client = new Peers.Client(address)) {
          for (int i = 0; i < 2000; i++) {
            assertThat(client.read("r" + i).readLine()).isEqualTo("VA 5 Or" + i);
            assertThat(client.readLine()).isEqualTo("hello");
          }
        }
        long resident = residentKb(process);
        System.out.printf(
            "%d peers and cache servers: all known after %d ms, resident %d kB%n",
            count, knownMillis, resident);
        assertThat(resident).isLessThan(MAX_RESIDENT_KB);
      } finally {
        process.destroyForcibly().waitFor();
      }
    } finally {
      for (Peers.Server server : servers) {
        server.close();
      }
    }
  }

  private static int knownServers(ServeProcess node) {
    try {
      return (int) node.status().nested("servers").number("active", -1);
    } catch (IOException | WireException e) {
      return -1;
    }
  }
}
