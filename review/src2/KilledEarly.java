import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A node is restarted by its agent, after its configuration was given shorter deadlines. */
final class KilledEarly {
  private static final int SERVERS = 6;
  private static final int CLIENTS = 60;
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final HttpClient HTTP = HttpClient.newHttpClient();
  private static final Set<String> FORWARDED = ConcurrentHashMap.newKeySet();
  private static final AtomicInteger ANSWERED = new AtomicInteger();
  private static final AtomicInteger LOST = new AtomicInteger();
  private static volatile boolean hanging;
  private static volatile boolean judging;
  private static volatile boolean stop;

  /** A cache server that may hang: it takes commands and says nothing. */
  private static final class Hanging extends Cache {
    private final boolean hangs;

    Hanging(String id, boolean hangs) throws IOException {
      super(id);
      this.hangs = hangs;
    }

    @Override
    void answer(Command command, Socket socket, OutputStream out) throws IOException {
      FORWARDED.add(command.id());
      while (hangs && hanging) {
        Kit.sleep(50);
      }
      super.answer(command, socket, out);
    }
  }

  public static void main(String[] arguments) throws Exception {
    Kit.begin(arguments[0]);
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      entries.add(new Hanging("s-" + i, i < SERVERS / 2).entry("active", 0));
    }
    String list = "{\"version\":1,\"full\":true,\"servers\":[" + String.join(",", entries) + "]}";
    Watch watch = new Watch(() -> list);
    InetSocketAddress listen = new InetSocketAddress("127.0.0.1", Kit.freePort());
    Path own = Files.createDirectories(Kit.temporary().resolve("agent"));
    Kit.instancesUnder(own);
    Path config = own.resolve("n0.json");
    Path status = own.resolve("n0.sock");
    Kit.write(config, config(listen, watch, list, status, "2.0", "1.0"));
    int api = Kit.freePort();
    String url = "http://127.0.0.1:" + api;
    Path file = own.resolve("agent.toml");
    Kit.write(
        file,
        """
        name = "one"
        folder = "%s"
        [api]
        listen = "127.0.0.1:%d"
        [[instance]]
        name = "n0"
        command = ["/bin/sh", "-c", '%s']
        folder = "%s"
        config = "%s"
        status_socket = "%s"
        """
            .formatted(own, api, Kit.deployed("run"), Kit.ROOT, config, status));
    Kit.start("agent", Map.of(), List.of("./beamspread", "agent", "--config", file.toString()));
    Path inventory = Kit.temporary().resolve("fleet.toml");
    Kit.write(inventory, "[[agent]]\nname = \"one\"\nurl = \"" + url + "\"\n");
    Kit.awaitReady(listen);
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      Kit.daemon(() -> client(listen, number));
    }
    Kit.sleep(4000);
    long pid = instance(url).path("pid").asLong();
    if (Kit.TROUBLE) {
      Path next = own.resolve("n0.json.next");
      Kit.write(next, config(listen, watch, list, status, "0.5", "0.3"));
      Files.move(next, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      Kit.say("the configuration has shorter deadlines now, which hold from the next start on");
    }
    judging = true;
    Process restart =
        Kit.start(
            "restart",
            Map.of(),
            List.of("./beamspread", "fleet", "restart", "n0", "-i", inventory.toString()));
    while (!instance(url).path("state").asText().equals("stopping") && restart.isAlive()) {
      Kit.sleep(5);
    }
    long told = System.nanoTime();
    Kit.say("the agent has sent SIGTERM to process " + pid);
    Kit.sleep(250);
    hanging = true;
    Kit.say("three of six cache servers hang");
    while (Files.exists(Path.of("/proc/" + pid)) && System.nanoTime() - told < 8_000_000_000L) {
      Kit.sleep(5);
    }
    double after = (System.nanoTime() - told) / 1e9;
    Kit.say("process %d is gone %.2f s after SIGTERM; its longest deadline is 2 s".formatted(pid, after));
    Kit.sleep(1000);
    judging = false;
    hanging = false;
    restart.waitFor();
    stop = true;
    for (String line : Kit.log("restart")) {
      Kit.note("restart: " + line);
    }
    Kit.say(ANSWERED.get() + " requests answered, " + LOST.get() + " that were sent on got no answer");
    Kit.end(LOST.get() > 0 ? 1 : 0);
  }

  private static String config(
      InetSocketAddress listen, Watch watch, String list, Path status, String read, String write) {
    String settings =
        Configs.SETTINGS
            .formatted(2, 0)
            .replace("\"give-up\":2.0", "\"give-up\":" + read)
            .replace("\"give-up\":1.0", "\"give-up\":" + write);
    if (!read.equals("2.0")) {
      settings = settings.replace("\"slo\":0.75", "\"slo\":0.3").replace("\"slo\":0.3", "\"slo\":0.2");
    }
    return Configs.text(
        "n0", listen, watch.address(), list, settings, "\"status_socket\":\"" + status + "\",");
  }

  private static JsonNode instance(String url) throws Exception {
    return JSON.readTree(
        HTTP.send(
                HttpRequest.newBuilder(URI.create(url + "/v1/instances/n0")).build(),
                HttpResponse.BodyHandlers.ofString())
            .body());
  }

  /** A client that sends one read after the other, on one connection for as long as that is open. */
  private static void client(InetSocketAddress node, int number) {
    for (int i = 0; !stop; ) {
      String id = null;
      long sent = 0;
      try (Socket socket = new Socket()) {
        socket.connect(node, 1000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(6000);
        InputStream in = socket.getInputStream();
        while (!stop) {
          id = "c" + number + "x" + ++i;
          socket
              .getOutputStream()
              .write(Kit.ascii("mg key" + (i * 7 + number) % 211 + " v O" + id + " Pc=square-read,d=2000\r\n"));
          sent = System.nanoTime();
          String line = Kit.line(in);
          if (line == null) {
            throw new IOException("the connection has ended");
          }
          if (line.startsWith("VA ")) {
            in.readNBytes(Integer.parseInt(line.split(" ")[1]) + 2);
          }
          ANSWERED.incrementAndGet();
          id = null;
          Kit.sleep(100);
        }
      } catch (IOException e) {
        // One that no cache server has got may not have been read: the client sends it once more.
        if (id != null && judging && FORWARDED.contains(id)) {
          LOST.incrementAndGet();
          Kit.note(
              "%s was sent on, and its connection ended after %.2f s with no answer: %s"
                  .formatted(id, (System.nanoTime() - sent) / 1e9, e.getMessage()));
        }
        Kit.sleep(50);
      }
    }
  }
}
