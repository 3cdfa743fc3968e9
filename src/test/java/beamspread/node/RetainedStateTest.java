package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.LeakCheck;
import beamspread.RetainedSizes;
import beamspread.model.Settings;
import beamspread.node.client.ClientConnections;
import beamspread.node.discovery.MemberList;
import beamspread.standin.CacheServer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/**
 * Guards against collections that grow without bound: a node over sockets sees a long sequence of
 * new clients, cache servers and keys.
 */
@ExtendWith(LeakCheck.class)
class RetainedStateTest {
  private static final int REQUESTS = 10_000;

  /** Servers in one list. */
  private static final int SERVERS_PER_LIST = 50;

  /** Upper bound of any collection, except for those that are kept on purpose. */
  private static final int MAX_RETAINED = 512;

  /**
   * Bounds of the collections that are kept on purpose: recently answered keys, and ids that
   * operators may name.
   */
  private static final Map<String, Integer> BOUNDED_BY_DESIGN =
      Map.of("OriginGuard.answeredAt", 1 << 15, "Detachments.seen", 1 << 12);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<CacheServer> servers = new ArrayList<>();

  @AfterEach
  void closeServers() {
    servers.forEach(CacheServer::close);
    group.shutdownGracefully(30, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  /** Returns a list of new servers, all of them at the few addresses in use. */
  private String list(int version) {
    List<String> lines = new ArrayList<>();
    for (int i = 0; i < SERVERS_PER_LIST; i++) {
      int number = version * SERVERS_PER_LIST + i;
      lines.add(
          "{\"id\":\"s-%d\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"a\",\"kind\":\"box\",\"state\":\"active\"}"
              .formatted(number, servers.get(number % servers.size()).address().getPort()));
    }
    String json =
        "{\"version\":%d,\"full\":true,\"servers\":[%s]}\n"
            .formatted(version, String.join(",", lines));
    return Integer.toHexString(json.length()) + "\r\n" + json + "\r\n";
  }

  @Test
  void collectionsStayBoundedOverManyClientsServersAndKeys() throws Exception {
    for (int i = 0; i < 4; i++) {
      servers.add(new CacheServer(group.next(), new CacheServer.Conduct(0, 10_000, true, 0, 0)));
    }
    String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + list(2);
    Settings settings =
        Peers.settings(
            new Settings.Limits(6, true, true, false, false, false, 1, 2, 60, 32, 20000));
    try (Peers.Server discovery = new Peers.Server(line -> line.startsWith("GET ") ? head : null)) {
      Node node =
          new Node(
              new NodeConfig(
                  new InetSocketAddress("127.0.0.1", 0),
                  discovery.address(),
                  1,
                  256,
                  64,
                  new MemberList(true, 1, List.of()),
                  settings,
                  null,
                  Peers.poolSettings(settings, 256),
                  "ever",
                  false,
                  null,
                  null,
                  null,
                  null),
              ClientConnections.Limits.defaults(64),
              Transport.TCP);
      try {
        InetSocketAddress address = (InetSocketAddress) node.start();
        Peers.await("a watch", () -> !discovery.lines.isEmpty());
        String watch = discovery.lines.get(0);
        int served = 0;
        int lists = REQUESTS / SERVERS_PER_LIST;
        for (int version = 3; version < lists + 3; version++) {
          for (int i = 0; i < SERVERS_PER_LIST; i++) {
            String id = Integer.toHexString((version << 8) + i);
            try (Peers.Client client = new Peers.Client(address)) {
              client.send("mg k" + id + " v O" + id + " Pc=read,d=5000\r\n");
              served += client.readLine().startsWith("VA") ? 1 : 0;
            }
          }
          discovery.send(watch, list(version));
        }
        assertThat(served).isGreaterThan(REQUESTS * 9 / 10);
        Peers.await("all client connections are closed", () -> node.clientCount() == 0);
        Map<String, Integer> held =
            node.loop().submit(() -> RetainedSizes.maxSizesByOwner(node)).get();
        assertThat(held)
            .containsKeys(
                "Targets.listed", "Pools.leaving", "OpenRequests.byId", "WakeTimers.byToken");
        assertThat(held.get("MembershipFeed.servers")).isLessThanOrEqualTo(SERVERS_PER_LIST);
        held.forEach(
            (name, size) -> {
              int limit = BOUNDED_BY_DESIGN.getOrDefault(name, MAX_RETAINED);
              assertThat(size).as("%s of %s", name, held).isLessThanOrEqualTo(limit);
            });
      } finally {
        node.close();
      }
    }
  }
}
