import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A cache server is detached in a large fleet, most of which was replaced shortly before. */
final class DetachLate {
  /** The largest fleet of the page, and the part of it that is replaced within 7 s. */
  private static final int SERVERS = 3200;

  private static final int REPLACED = SERVERS * 6 / 10;
  private static final int KEYS = 80;

  private static final class Server {
    String id;
    int port;
    long startedMillis;
    long lastUsed;
    int used;
    int usedBefore;
  }

  private static final class Peer {
    final Server server;
    final StringBuilder text = new StringBuilder();

    Peer(Server server) {
      this.server = server;
    }
  }

  private static final Server[] SERVER = new Server[SERVERS];
  private static int version = 1;
  private static volatile String watched;
  private static volatile long watchedSince = Long.MAX_VALUE;
  private static volatile int late;

  public static void main(String[] arguments) throws Exception {
    Kit.begin(arguments[0]);
    Selector selector = Selector.open();
    for (int i = 0; i < SERVERS; i++) {
      Server server = new Server();
      ServerSocketChannel channel = ServerSocketChannel.open();
      channel.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 16);
      channel.configureBlocking(false);
      channel.register(selector, SelectionKey.OP_ACCEPT, server);
      server.id = "s-" + i;
      server.port = channel.socket().getLocalPort();
      SERVER[i] = server;
    }
    Thread serving = Kit.daemon(() -> serve(selector));
    Watch watch = new Watch(DetachLate::whole);
    InetSocketAddress listen = new InetSocketAddress("127.0.0.1", Kit.freePort());
    int mgmt = Kit.freePort();
    Path config = Kit.temporary().resolve("n0.json");
    Kit.write(
        config,
        Configs.text(
            "n0",
            listen,
            watch.address(),
            whole(),
            Configs.SETTINGS.formatted(2, 0),
            "\"mgmt\":\"127.0.0.1:" + mgmt + "\","));
    Kit.node("n0", config);
    Kit.awaitReady(listen);
    Kit.say("the node serves, with " + SERVERS + " cache servers in its list");
    for (int i = 0; i < 8; i++) {
      int number = i;
      Kit.daemon(() -> ask(listen, number));
    }
    Kit.sleep(3000);
    if (Kit.TROUBLE) {
      replace(watch);
      Kit.say(REPLACED + " cache servers are replaced");
    }
    Kit.sleep(2000);
    for (Server server : SERVER) {
      server.usedBefore = server.used;
      server.used = 0;
    }
    Kit.sleep(10_000);
    Server chosen = null;
    for (int i = 0; i < 1000; i++) {
      boolean first = SERVER[i].id.equals("s-" + i);
      // One that is the home of a key before and after, not one that stands in for a cold one.
      boolean home = Math.min(SERVER[i].used, SERVER[i].usedBefore) > 2;
      if (first && home && (chosen == null || SERVER[i].used > chosen.used)) {
        chosen = SERVER[i];
      }
    }
    if (chosen == null || chosen.used < 3 || !serving.isAlive()) {
      Kit.say("no cache server that is still listed is asked");
      Kit.end(2);
    }
    Kit.say(chosen.id + " is listed as active since the start, and has got " + chosen.used + " in 10 s");
    long called = System.nanoTime();
    HttpResponse<String> answer =
        HttpClient.newHttpClient()
            .send(
                HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + mgmt + "/_cache-servers/detach"))
                    .POST(HttpRequest.BodyPublishers.ofString("{\"member\":\"" + chosen.id + "\"}"))
                    .build(),
                HttpResponse.BodyHandlers.ofString());
    Kit.say("detach " + chosen.id + ": " + answer.statusCode() + " " + answer.body().strip());
    boolean yes = answer.statusCode() / 100 == 2;
    // Told by the yes, or 1 s after the call; then the grace of 2 s, and 50 ms on sockets.
    long told = yes ? System.nanoTime() : called + 1_000_000_000L;
    watchedSince = told + 2_050_000_000L;
    watched = chosen.id;
    Kit.sleep(35_000);
    Kit.say(late + " commands came to " + chosen.id + " after the grace");
    Kit.end(late > 0 ? 1 : 0);
  }

  private static String entry(Server server, String state) {
    return ("{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"budapest\",\"kind\":\"big-box\","
            + "\"cell\":0,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}")
        .formatted(server.id, server.port, state, server.startedMillis);
  }

  private static synchronized String whole() {
    List<String> entries = new ArrayList<>();
    for (Server server : SERVER) {
      entries.add(entry(server, "active"));
    }
    return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + String.join(",", entries) + "]}";
  }

  private static synchronized String change(List<Integer> which, int step) {
    List<String> entries = new ArrayList<>();
    for (int i : which) {
      entries.add(entry(SERVER[i], "left"));
    }
    for (int i : which) {
      SERVER[i].id = "s-" + i + "-new";
      SERVER[i].startedMillis = System.currentTimeMillis();
      SERVER[i].used = 0;
      entries.add(entry(SERVER[i], "active"));
    }
    version++;
    return "{\"version\":" + version + ",\"full\":false,\"servers\":[" + String.join(",", entries) + "]}";
  }

  private static void replace(Watch watch) {
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      order.add(i);
    }
    Collections.shuffle(order, new Random(7));
    int steps = 13;
    for (int step = 0; step < steps; step++) {
      watch.tell(
          change(
              order.subList(REPLACED * step / steps, REPLACED * (step + 1) / steps), step));
      Kit.sleep(500);
    }
  }

  /** A client that asks for one key after the other. */
  private static void ask(InetSocketAddress node, int number) {
    Random random = new Random(number);
    Map<String, Integer> answers = new HashMap<>();
    for (int i = 0; ; i++) {
      try (Socket socket = new Socket()) {
        socket.connect(node, 1000);
        socket.setSoTimeout(4000);
        InputStream in = socket.getInputStream();
        while (true) {
          i++;
          String id = "c" + number + "x" + i;
          socket
              .getOutputStream()
              .write(
                  Kit.ascii(
                      "mg key" + random.nextInt(KEYS) + " v O" + id + " Pc=square-read,d=2000\r\n"));
          String line = Kit.line(in);
          if (line == null) {
            break;
          }
          if (line.startsWith("VA ")) {
            in.readNBytes(Integer.parseInt(line.split(" ")[1]) + 2);
          }
          answers.merge(line.split(" ")[0], 1, Integer::sum);
          if (i % 200 == 0) {
            Kit.note("client " + number + ": " + answers);
          }
          Kit.sleep(40);
        }
      } catch (IOException e) {
        Kit.note("client " + number + ": " + e);
        Kit.sleep(100);
      }
    }
  }

  private static void serve(Selector selector) {
    ByteBuffer buffer = ByteBuffer.allocate(16_384);
    while (true) {
      try {
        selector.select();
        for (SelectionKey key : selector.selectedKeys()) {
          try {
            if (key.isAcceptable()) {
              SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
              if (channel != null) {
                channel.configureBlocking(false);
                channel.register(selector, SelectionKey.OP_READ, new Peer((Server) key.attachment()));
              }
            } else {
              read((SocketChannel) key.channel(), (Peer) key.attachment(), buffer);
            }
          } catch (IOException e) {
            key.cancel();
            key.channel().close();
          }
        }
        selector.selectedKeys().clear();
      } catch (IOException e) {
        Kit.say("cache servers: " + e);
        return;
      }
    }
  }

  private static void read(SocketChannel channel, Peer peer, ByteBuffer buffer) throws IOException {
    buffer.clear();
    if (channel.read(buffer) < 0) {
      channel.close();
      return;
    }
    peer.text.append(new String(buffer.array(), 0, buffer.position(), StandardCharsets.ISO_8859_1));
    for (int end = peer.text.indexOf("\r\n"); end >= 0; end = peer.text.indexOf("\r\n")) {
      String line = peer.text.substring(0, end);
      peer.text.delete(0, end + 2);
      String answer = "MN\r\n";
      if (line.startsWith("mg ")) {
        peer.server.used++;
        String id = line.split(" O")[1].split(" ")[0];
        if (peer.server.id.equals(watched)) {
          boolean tooLate = System.nanoTime() - watchedSince > 0;
          Kit.note(peer.server.id + " got " + line + (tooLate ? " after the grace" : ""));
          late += tooLate ? 1 : 0;
        }
        answer = "VA 5 O" + id + " h1\r\nhello\r\n";
      }
      channel.write(ByteBuffer.wrap(answer.getBytes(StandardCharsets.ISO_8859_1)));
    }
  }
}
