package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.LeakCheck;
import beamspread.node.client.ClientConnections;
import beamspread.node.wire.Json;
import beamspread.sim.Message;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/**
 * Deployments under {@code deploy/sites}: a node with the settings of each serves all its classes.
 */
@ExtendWith(LeakCheck.class)
class DeploymentSitesTest {
  private static final Path SITES = Path.of("deploy", "sites");

  static List<Path> sites() throws IOException {
    try (Stream<Path> folders = Files.list(SITES)) {
      return folders.map(folder -> folder.resolve("site.toml")).sorted().toList();
    }
  }

  private static List<TomlTable> classes(TomlParseResult site) {
    TomlArray tables = site.getArray("class");
    List<TomlTable> classes = new ArrayList<>();
    for (int i = 0; i < tables.size(); i++) {
      classes.add(tables.getTable(i));
    }
    return classes;
  }

  private static String effect(TomlTable type) {
    return switch (type.getString("effect")) {
      case "safe" -> "retryable";
      case "keyed" -> "dedup";
      default -> "fragile";
    };
  }

  /** Returns the configuration that the bench would write for a node of this site. */
  private static String config(TomlParseResult site, Peers.Server discovery, Peers.Server server) {
    TomlTable allow = site.getTable("allow");
    TomlTable connections = site.getArray("tier").getTable(0).getTable("conn");
    TomlArray zones = site.getTable("net").getArray("zones");
    double second = 1e3;
    return Json.object(
        out -> {
          out.writeStringField("listen", "127.0.0.1:0");
          out.writeStringField("discovery", "127.0.0.1:" + discovery.address().getPort());
          out.writeStringField("seed", "1f");
          out.writeObjectFieldStart("limits");
          out.writeNumberField("cores", 1);
          out.writeNumberField("memory_mb", 64);
          out.writeNumberField("sockets", 512);
          out.writeEndObject();
          out.writeFieldName("known");
          out.writeRawValue(Peers.listJson(1, server));
          out.writeObjectFieldStart("settings");
          out.writeStringField("zone", zones.getString(0));
          out.writeArrayFieldStart("azs");
          for (int i = 0; i < zones.size(); i++) {
            out.writeString(zones.getString(i));
          }
          out.writeEndArray();
          out.writeNumberField("instances", 3);
          out.writeStringField("discovery", site.getTable("discovery").getString("mode"));
          out.writeObjectFieldStart("caps");
          out.writeNumberField("attempts-cap", allow.getLong("max_attempts"));
          out.writeBooleanField("cancel", allow.getBoolean("cancel"));
          out.writeBooleanField("parallel-tries", allow.getBoolean("second_copies"));
          out.writeBooleanField("retry-after", allow.getBoolean("retry_after"));
          out.writeNumberField("max-retry-after", 0.4);
          out.writeNumberField(
              "connect-timeout", connections.getLong("connect_timeout_ms") / second);
          out.writeNumberField("conn-idle", connections.getLong("idle_s"));
          out.writeNumberField("multiplex", connections.getLong("streams"));
          out.writeEndObject();
          out.writeObjectFieldStart("contract");
          out.writeNumberField(
              "drain-grace", site.getTable("rules").getLong("drain_grace_ms") / second);
          out.writeNumberField("ask-within", 4);
          out.writeNumberField("warm-within", 10);
          out.writeNumberField("cold-from", 0.2);
          out.writeNumberField("overload-factor", 3);
          out.writeNumberField("overload-for", 2);
          out.writeEndObject();
          out.writeArrayFieldStart("services");
          for (TomlTable type : classes(site)) {
            out.writeStartObject();
            out.writeStringField("name", type.getString("name"));
            out.writeNumberField("slo", type.getLong("aim_ms") / second);
            out.writeNumberField("give-up", type.getLong("deadline_ms") / second);
            out.writeNumberField("credit", type.getLong("worth"));
            out.writeStringField("effect", effect(type));
            out.writeStringField("group", type.getString("group", () -> "cell"));
            out.writeNumberField("repeat-window", type.getLong("window_ms", () -> 0) / second);
            out.writeEndObject();
          }
          out.writeEndArray();
          out.writeEndObject();
        });
  }

  private static Node node(TomlParseResult site, Peers.Server discovery, Peers.Server server)
      throws Exception {
    NodeConfig config = NodeConfig.parse(Message.parse(config(site, discovery, server)));
    return new Node(config, ClientConnections.Limits.defaults(64), Transport.TCP);
  }

  private static String request(TomlTable type, String id) {
    boolean write = Boolean.TRUE.equals(type.getBoolean("write"));
    String parameters = "O" + id + " Pc=" + type.getString("name") + ",t=x,d=";
    return write
        ? "ms key 5 " + parameters + type.getLong("deadline_ms") + ",k=5c0f\r\nworld\r\n"
        : "mg key v " + parameters + type.getLong("deadline_ms") + "\r\n";
  }

  @ParameterizedTest
  @MethodSource("sites")
  void servesOnlyItsOwnClasses(Path file) throws Exception {
    TomlParseResult site = Toml.parse(file);
    assertFalse(site.hasErrors(), () -> site.errors().toString());
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Server discovery = new Peers.Server(line -> null);
        Node node = node(site, discovery, server);
        Peers.Client client = new Peers.Client((InetSocketAddress) node.start())) {
      int number = 0;
      for (TomlTable type : classes(site)) {
        String id = "i" + ++number;
        String answer = client.send(request(type, id)).readLine();
        boolean write = Boolean.TRUE.equals(type.getBoolean("write"));
        assertEquals(write ? "HD O" + id + " c77" : "VA 5 O" + id, answer, type.getString("name"));
        if (!write) {
          client.readLine();
        }
      }
      assertEquals(number, server.lines.size());
      String other = "mg key v Oz Pc=read,d=400\r\n";
      assertEquals("CLIENT_ERROR unknown or missing class", client.send(other).readLine());
    }
  }

  /** With a server that never answers, each class is answered by its own deadline. */
  @ParameterizedTest
  @MethodSource("sites")
  void answersEveryClassByItsDeadline(Path file) throws Exception {
    TomlParseResult site = Toml.parse(file);
    List<Peers.Client> clients = new ArrayList<>();
    try (Peers.Server server = new Peers.Server(line -> null);
        Peers.Server discovery = new Peers.Server(line -> null);
        Node node = node(site, discovery, server)) {
      InetSocketAddress address = (InetSocketAddress) node.start();
      for (TomlTable type : classes(site)) {
        clients.add(new Peers.Client(address).send(request(type, "i" + clients.size())));
      }
      for (Peers.Client client : clients) {
        String answer = client.readLine();
        assertTrue(answer != null && answer.startsWith("SERVER_ERROR "), answer);
      }
      Peers.await("no request is open", () -> node.openRequests() == 0);
      // A request is sent at most as often as the site allows attempts.
      for (TomlTable type : classes(site)) {
        String parameters = "Pc=" + type.getString("name") + ",";
        long sent = server.lines.stream().filter(line -> line.contains(parameters)).count();
        assertTrue(sent <= site.getTable("allow").getLong("max_attempts"), parameters + " " + sent);
      }
    } finally {
      for (Peers.Client client : clients) {
        client.disconnect();
      }
    }
  }

  @Test
  void sitesDifferInDiscoveryMode() throws IOException {
    List<Path> sites = sites();
    assertEquals(2, sites.size());
    List<String> modes = new ArrayList<>();
    for (Path site : sites) {
      modes.add(Toml.parse(site).getTable("discovery").getString("mode"));
    }
    assertEquals(List.of("push", "ask"), modes);
  }
}
