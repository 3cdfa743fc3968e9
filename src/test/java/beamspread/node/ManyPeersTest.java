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
class ManyPeersTest {
  /** The least memory that the platform gives a node on scored days, with a margin. */
  private static final long MOST_RESIDENT_KB = 144 * 1024;

  /** The JVM options of the platform's command line, except for the class data archive. */
  private static final List<String> MACHINE =
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

  private static String list(int version, int many, List<Peers.Server> servers) {
    return IntStream.range(0, many)
        .mapToObj(n -> entry(n, servers.get(n % servers.size()).address().getPort()))
        .collect(
            Collectors.joining(
                ",", "{\"version\":" + version + ",\"full\":true,\"servers\":[", "]}"));
  }

  private static String peers(int many) {
    return IntStream.range(0, many)
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
  void itServesWithinItsLimits(int many) throws Exception {
    List<Peers.Server> servers =
        List.of(
            new Peers.Server(Peers::good),
            new Peers.Server(Peers::good),
            new Peers.Server(Peers::good),
            new Peers.Server(Peers::good));
    String answer = Peers.WATCH + Peers.chunk(list(41, many, servers) + "\n");
    ServeProcess node = new ServeProcess(folder, "node");
    try (Peers.Server discovery =
        new Peers.Server(line -> line.startsWith("GET ") ? answer : null)) {
      node.configure("127.0.0.1:0", peers(many), discovery, servers.get(0));
      Files.writeString(
          node.config,
          Files.readString(node.config).replace("\"instances\":1,", "\"instances\":" + many + ","));
      long startedAt = System.nanoTime();
      Process process = node.launch(MACHINE);
      try {
        Peers.await("all servers are known", () -> known(node) == many);
        long knownMillis = (System.nanoTime() - startedAt) / 1_000_000;
        String[] at = node.status().requiredText("listen").split(":");
        InetSocketAddress address = new InetSocketAddress(at[0], Integer.parseInt(at[1]));
        try (Peers.Client client = new Peers.Client(address)) {
          for (int i = 0; i < 2000; i++) {
            assertThat(client.read("r" + i).line()).isEqualTo("VA 5 Or" + i);
            assertThat(client.line()).isEqualTo("hello");
          }
        }
        long resident = residentKb(process);
        System.out.printf(
            "%d peers and cache servers: all known after %d ms, resident %d kB%n",
            many, knownMillis, resident);
        assertThat(resident).isLessThan(MOST_RESIDENT_KB);
      } finally {
        process.destroyForcibly().waitFor();
      }
    } finally {
      for (Peers.Server server : servers) {
        server.close();
      }
    }
  }

  private static int known(ServeProcess node) {
    try {
      return (int) node.status().nested("servers").number("active", -1);
    } catch (IOException | WireException e) {
      return -1;
    }
  }
}
