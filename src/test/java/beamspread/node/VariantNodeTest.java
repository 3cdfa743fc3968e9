package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beamspread.LeakCheck;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;
import beamspread.node.client.ClientConnections;
import beamspread.node.discovery.MemberList;
import beamspread.node.variants.VariantConfig;
import beamspread.node.variants.VariantFileReader;
import beamspread.sim.WireException;
import beamspread.variants.VariantTable;
import beamspread.variants.VariantVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Keys that a node with a table of variants sends to its cache servers. */
@ExtendWith(LeakCheck.class)
class VariantNodeTest {
  private static final String RULES =
      """
      {"fleet":"main","hold_s":%s,"slots":%d,"slot_s":%s,"rules":[
       {"prefix":"page/","separator":"/","field":0,"classes":["phone","tablet","watch"],
        "requests":["read"],"max_age_s":60}]}
      """;

  private static final Settings SETTINGS =
      Peers.settings(
          new Settings.Limits(6, true, true, false, false, false, 1, 2, 60, 32, 20000),
          false,
          List.of(
              Peers.service("read", Settings.Effect.SAFE),
              Peers.service("put", Settings.Effect.UNSAFE)));

  /** Returns the answer of an agent with this table. */
  private static String tableAnswer(VariantTable table, long validMillis) {
    String json =
        "{\"token\":%d,\"number\":%d,\"valid_ms\":%d,\"digest\":\"%s\",\"text\":\"%s\"}"
            .formatted(
                table.version().token(),
                table.version().number(),
                validMillis,
                table.digest(),
                table.text().replace("\n", "\\n"));
    return "HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json;
  }

  private static VariantTable table(String... classes) {
    return VariantTable.of(
        "main", new VariantVersion(1, 1), Map.of("page/", List.of(Set.of(classes))));
  }

  private static Peers.Server agent(VariantTable table, long validMillis) throws IOException {
    return new Peers.Server(
        line ->
            line.startsWith("POST /v1/variants/main/pull ")
                ? tableAnswer(table, validMillis)
                : null);
  }

  private static Node node(
      Peers.Server discovery, Peers.Server server, Peers.Server agent, String rules)
      throws WireException {
    ServerEntry entry =
        new ServerEntry(
            MemberList.serverNumber("s-" + server.address().getPort()),
            "a",
            "box",
            0,
            ServerEntry.State.READY,
            1,
            0);
    return new Node(
        new NodeConfig(
            new InetSocketAddress("127.0.0.1", 0),
            discovery.address(),
            1,
            256,
            64,
            new MemberList(true, 1, List.of(new MemberList.Member(entry, server.address()))),
            SETTINGS,
            null,
            Peers.poolSettings(SETTINGS, 256),
            "variants",
            false,
            null,
            null,
            null,
            new VariantConfig(VariantFileReader.read(rules), agent.address(), null)),
        ClientConnections.Limits.defaults(16),
        Transport.TCP);
  }

  private static String keyOf(String line) {
    return line.split(" ")[1];
  }

  private static boolean hasTable(Node node) {
    return node.variantKeys() != null
        && node.variantKeys().held().inForce(System.nanoTime()) != null;
  }

  private static void read(Peers.Client client, String key, String id, String value)
      throws IOException {
    client.send("mg " + key + " v O" + id + " Pc=read,d=5000,x=y\r\n");
    assertThat(client.readLine()).isEqualTo("VA " + value.length() + " O" + id);
    assertThat(client.readLine()).isEqualTo(value);
  }

  @Test
  void rewritesKeysWhileTableIsValid() throws Exception {
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Server discovery = Peers.discovery(1, server);
        Peers.Server agent = agent(table("phone", "tablet"), 1000)) {
      Node node = node(discovery, server, agent, RULES.formatted("1", 65536, "60"));
      InetSocketAddress address = (InetSocketAddress) node.start();
      try (Peers.Client client = new Peers.Client(address)) {
        Peers.await("a table is in force", () -> hasTable(node));
        read(client, "page/tablet/1", "1", "hello");
        read(client, "page/phone/1", "2", "hello");
        read(client, "page/watch/1", "3", "hello");
        read(client, "other/tablet/1", "4", "hello");
        assertThat(server.lines)
            .extracting(VariantNodeTest::keyOf)
            .containsExactly("page/phone/1", "page/phone/1", "page/watch/1", "other/tablet/1");
        assertThat(server.lines.get(0))
            .startsWith("mg page/phone/1 v O1 Pc=read,d=")
            .endsWith(",x=y");
        String deadline = server.lines.get(0).replaceAll(".*,d=(\\d+),x=y", "$1");
        assertThat(Integer.parseInt(deadline)).isBetween(1, 5000);
        agent.script = line -> null;
        Peers.await("the table has expired", () -> !hasTable(node));
        read(client, "page/tablet/1", "5", "hello");
        assertThat(server.lines.get(4)).startsWith("mg page/tablet/1 ");
      } finally {
        node.close();
      }
    }
  }

  @Test
  void writeSplitsFamily() throws Exception {
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Server discovery = Peers.discovery(1, server);
        Peers.Server agent = agent(table("phone", "tablet"), 60_000)) {
      Node node = node(discovery, server, agent, RULES.formatted("20", 65536, "60"));
      InetSocketAddress address = (InetSocketAddress) node.start();
      try (Peers.Client client = new Peers.Client(address)) {
        Peers.await("a table is in force", () -> hasTable(node));
        client.send("ms page/watch/9 5 O1 Pc=put,d=5000\r\nworld\r\n");
        assertThat(client.readLine()).isEqualTo("HD O1 c77");
        read(client, "page/tablet/1", "2", "hello");
        assertThat(server.lines.get(server.lines.size() - 1)).startsWith("mg page/tablet/1 ");
      } finally {
        node.close();
      }
    }
  }

  @ParameterizedTest
  @CsvSource({"5", "200000"})
  void differingValuesOfAnyLengthSplitFamily(int length) throws Exception {
    String same = "a".repeat(length);
    String other = "a".repeat(length - 1) + "b";
    try (Peers.Server server =
            new Peers.Server(
                line -> {
                  String value = line.contains("/tablet/") ? other : same;
                  String id = line.replaceAll(".* O(\\S+) .*", "$1");
                  return "VA " + length + " O" + id + " h1\r\n" + value + "\r\n";
                });
        Peers.Server discovery = Peers.discovery(1, server);
        Peers.Server agent = agent(table("phone", "tablet"), 60_000)) {
      // Each object is compared in every second slot of 50 ms.
      Node node = node(discovery, server, agent, RULES.formatted("20", 2, "0.05"));
      InetSocketAddress address = (InetSocketAddress) node.start();
      try (Peers.Client client = new Peers.Client(address)) {
        Peers.await("a table is in force", () -> hasTable(node));
        int attempts = 0;
        while (node.variantKeys().counts().differed == 0) {
          assertThat(attempts++).isLessThan(20_000);
          for (String key : List.of("page/phone/1", "page/tablet/1")) {
            client.send("mg " + key + " v O" + key.hashCode() + attempts + " Pc=read,d=5000\r\n");
            assertThat(client.readLine()).startsWith("VA " + length);
            assertThat(client.readLine()).hasSize(length);
          }
        }
        read(client, "page/tablet/1", "last", other);
      } finally {
        node.close();
      }
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"fleet\":\"main\"}|rules",
        "{\"fleet\":\"a b\",\"rules\":[]}|fleet must have",
        "{\"fleet\":\"main\",\"hold_s\":0.5,\"rules\":[]}|hold_s must be",
        "{\"fleet\":\"main\",\"hold\":1,\"rules\":[]}|hold: unknown key",
        "{\"fleet\":\"main\",\"rules\":[{\"prefix\":\"p/\",\"separator\":\"/\",\"field\":0,\"classes\":[\"a\",\"b\"],\"requests\":[\"read\"],\"max_age_s\":1}]}|rules[0].max_age_s",
        "{\"fleet\":\"main\",\"rules\":[{\"prefix\":\"p/\",\"separator\":\"/\",\"field\":0,\"classes\":[\"a\"],\"requests\":[\"read\"],\"max_age_s\":60}]}|rules[0].classes must be 2",
        "{\"fleet\":\"main\",\"rules\":[{\"prefix\":\"p/\",\"separator\":\"/\",\"field\":0,\"classes\":[\"a\",\"b\"],\"requests\":[\"read\"],\"max_age_s\":60,\"same\":[\"a+c\"]}]}|no class 'c'",
        "{\"fleet\":\"main\",\"rules\":[{\"prefix\":\"p/\",\"separator\":\"/\",\"field\":0,\"classes\":[\"a\",\"b\"],\"requests\":[\"read\"],\"max_age_s\":60,\"same\":[\"a+b\",\"b+a\"]}]}|rules[0].same: 'b' is listed twice",
      })
  void rejectsInvalidFileNamingTheKey(String file, String expectedMessage) {
    assertThatThrownBy(() -> VariantFileReader.read(file))
        .isInstanceOf(WireException.class)
        .hasMessageContaining(expectedMessage);
  }
}
