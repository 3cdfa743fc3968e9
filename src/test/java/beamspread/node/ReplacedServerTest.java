package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.node.PausingServer.Piece;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Cache servers that end, and others that come up at their addresses before discovery tells it: no
 * unsafe request runs twice, and none is answered with what was not made for it. Incident 3cc17f.
 */
class ReplacedServerTest {
  private static final int SERVERS = 6;
  private static final int CLIENTS = 12;
  private static final int REPLACEMENTS = 4;
  private static final int GAP_MILLIS = 30;
  private static final int NEWS_DELAY_MILLIS = 600;
  private static final int SERVICE_MILLIS = 20;

  /** Requests in flight at a server that ends may fail; those of one replacement at most. */
  private static final int MAX_FAILED = REPLACEMENTS * CLIENTS;

  @TempDir Path folder;

  private final Map<String, Set<String>> runsById = new ConcurrentHashMap<>();
  private final Map<String, Integer> ends = new ConcurrentHashMap<>();
  private final List<PausingServer> servers = new ArrayList<>();
  private volatile boolean done;

  private PausingServer server(String name, int port) throws IOException {
    return new PausingServer(
        name,
        port,
        command -> {
          String id = Peers.flagValue(command, 'O');
          Set<String> runs = runsById.computeIfAbsent(id, key -> ConcurrentHashMap.newKeySet());
          runs.add(name + " #" + runs.size());
          return List.of(new Piece(SERVICE_MILLIS, Peers.successReply(command)));
        });
  }

  private String list(int version) {
    return "{\"version\":%d,\"full\":true,\"servers\":[%s]}"
        .formatted(
            version,
            servers.stream().map(PausingServer::listEntry).collect(Collectors.joining(",")));
  }

  private Void runClient(InetSocketAddress address, int number) throws Exception {
    Peers.Client client = new Peers.Client(address);
    try {
      for (int i = 0; !done; i++) {
        String id = "x" + number + "-" + i;
        client.send("ms key-%d 5 O%s Pc=put,d=1500\r\nworld\r\n".formatted(i % 40, id));
        String line = client.readLine();
        assertThat(line).as(id).isNotNull();
        if (line.startsWith("HD ")) {
          assertThat(line).isEqualTo("HD O" + id + " c77");
        }
        ends.merge(line.startsWith("HD ") ? "served" : line, 1, Integer::sum);
      }
    } finally {
      client.close();
    }
    return null;
  }

  @Test
  void noRequestRunsTwiceWhenAnotherServerComesUpAtTheAddressOfOneThatEnded() throws Exception {
    for (int i = 0; i < SERVERS; i++) {
      servers.add(server("s-" + i, 0));
    }
    ScriptedDiscovery discovery = new ScriptedDiscovery(list(40));
    ServeProcess node = new ServeProcess(folder, "replaced");
    node.configure("127.0.0.1:0", "", discovery.address(), 1, list(40));
    Process process = node.launch();
    ExecutorService clients = Executors.newCachedThreadPool();
    try {
      Peers.await("the node tells its address", () -> node.listenAddress() != null);
      List<Future<?>> running = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        running.add(clients.submit(() -> runClient(node.listenAddress(), number)));
      }
      Peers.await("clients are served", () -> ends.getOrDefault("served", 0) > 10 * CLIENTS);
      for (int i = 0; i < REPLACEMENTS; i++) {
        PausingServer ended = servers.get(i);
        int port = ended.port();
        ended.close();
        TimeUnit.MILLISECONDS.sleep(GAP_MILLIS);
        servers.set(i, server("t-" + i, port));
        TimeUnit.MILLISECONDS.sleep(NEWS_DELAY_MILLIS);
        discovery.setList(list(41 + i));
        TimeUnit.MILLISECONDS.sleep(NEWS_DELAY_MILLIS);
      }
      done = true;
      for (Future<?> client : running) {
        client.get(1, TimeUnit.MINUTES);
      }
      List<String> twice =
          runsById.entrySet().stream()
              .filter(runs -> runs.getValue().size() > 1)
              .map(Object::toString)
              .toList();
      System.out.println("ends " + new TreeMap<>(ends) + ", run twice: " + twice);
      assertThat(twice).isEmpty();
      int served = ends.getOrDefault("served", 0);
      int failed = ends.getOrDefault("SERVER_ERROR failed", 0);
      assertThat(failed).as("failed beside %d served", served).isLessThanOrEqualTo(MAX_FAILED);
    } finally {
      done = true;
      clients.shutdownNow();
      process.destroyForcibly().onExit().join();
      discovery.close();
      for (PausingServer server : servers) {
        server.close();
      }
    }
  }
}
