import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A cache server that has died is detached from a node that was upgraded meanwhile. */
final class DetachAfterUpgrade {
  private static final int SERVERS = 6;
  private static final int DIES = 2;
  private static volatile long watchedSince = Long.MAX_VALUE;
  private static volatile int late;
  private static volatile int before;
  private static int version = 1;
  private static String dying = "active";
  private static long startedMillis;
  private static final List<Watched> CACHES = new ArrayList<>();

  private static final class Watched extends Cache {
    Watched(String id) throws IOException {
      super(id);
    }

    @Override
    void answer(Command command, Socket socket, OutputStream out) throws IOException {
      if (id.equals("s-" + DIES) && !command.name().equals("mn")) {
        boolean tooLate = System.nanoTime() - watchedSince > 0;
        late += tooLate ? 1 : 0;
        before += tooLate ? 0 : 1;
        if (tooLate) {
          Kit.note(id + " has got " + command.id() + " after the grace");
        }
      }
      super.answer(command, socket, out);
    }
  }

  public static void main(String[] arguments) throws Exception {
    Kit.begin(arguments[0]);
    for (int i = 0; i < SERVERS; i++) {
      CACHES.add(new Watched("s-" + i));
    }
    Watch watch = new Watch(DetachAfterUpgrade::whole);
    InetSocketAddress listen = new InetSocketAddress("127.0.0.1", Kit.freePort());
    int mgmt = Kit.freePort();
    Process old = Kit.node("n0", config("old", listen, watch, mgmt));
    Kit.awaitReady(listen);
    for (int i = 0; i < 4; i++) {
      int number = i;
      Kit.daemon(() -> ask(listen, number));
    }
    Kit.sleep(3000);
    Kit.say("s-" + DIES + " has got " + before + " commands; it dies");
    CACHES.get(DIES).die();
    Kit.sleep(2000);
    watch.tell(change("left"));
    Kit.say("discovery tells that s-" + DIES + " is gone");
    Kit.sleep(1500);
    if (Kit.TROUBLE) {
      int next = Kit.freePort();
      Kit.node("n0", config("new", listen, watch, next));
      while (call(next, "GET", "/_ready", "") / 100 != 2) {
        Kit.sleep(50);
      }
      old.destroy();
      Kit.say("a new process says that it is ready, and the old one gets SIGTERM");
      mgmt = next;
      old.waitFor();
      Kit.say("the old process has ended");
    } else {
      Kit.sleep(3000);
    }
    long called = System.nanoTime();
    int status = call(mgmt, "POST", "/_cache-servers/detach", "{\"member\":\"s-" + DIES + "\"}");
    Kit.say("detach s-" + DIES + ": " + status);
    // Told by the yes, or 1 s after the call; then the grace of 2 s, and 50 ms on sockets.
    long told = status / 100 == 2 ? System.nanoTime() : called + 1_000_000_000L;
    watchedSince = told + 2_050_000_000L;
    Kit.sleep(3500);
    CACHES.get(DIES).comeBack();
    startedMillis = System.currentTimeMillis();
    Kit.sleep(1500);
    watch.tell(change("active"));
    Kit.say("s-" + DIES + " runs again, and is listed");
    Kit.sleep(15_000);
    Kit.say(late + " commands came to s-" + DIES + " after the grace");
    Kit.end(late > 0 ? 1 : 0);
  }

  private static Path config(String name, InetSocketAddress listen, Watch watch, int mgmt)
      throws IOException {
    Path file = Kit.temporary().resolve(name + ".json");
    Kit.write(
        file,
        Configs.text(
            "n0",
            listen,
            watch.address(),
            whole(),
            Configs.SETTINGS.formatted(2, 0),
            "\"mgmt\":\"127.0.0.1:" + mgmt + "\","));
    return file;
  }

  private static synchronized String whole() {
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      if (i != DIES || dying.equals("active")) {
        entries.add(CACHES.get(i).entry("active", i == DIES ? startedMillis : 0));
      }
    }
    return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + String.join(",", entries) + "]}";
  }

  private static synchronized String change(String state) {
    dying = state;
    version++;
    return "{\"version\":" + version + ",\"full\":false,\"servers\":["
        + CACHES.get(DIES).entry(state, startedMillis) + "]}";
  }

  private static int call(int port, String method, String path, String body) throws Exception {
    try {
      HttpResponse<String> answer =
          HttpClient.newHttpClient()
              .send(
                  HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                      .method(
                          method,
                          body.isEmpty()
                              ? HttpRequest.BodyPublishers.noBody()
                              : HttpRequest.BodyPublishers.ofString(body))
                      .build(),
                  HttpResponse.BodyHandlers.ofString());
      Kit.note(method + " " + path + ": " + answer.statusCode() + " " + answer.body().strip());
      return answer.statusCode();
    } catch (IOException e) {
      return 0;
    }
  }

  private static void ask(InetSocketAddress node, int number) {
    for (int i = 0; ; ) {
      try (Socket socket = new Socket()) {
        socket.connect(node, 1000);
        socket.setSoTimeout(4000);
        InputStream in = socket.getInputStream();
        while (true) {
          i++;
          String id = "c" + number + "x" + i;
          socket
              .getOutputStream()
              .write(Kit.ascii("mg key" + i % 97 + " v O" + id + " Pc=square-read,d=2000\r\n"));
          String line = Kit.line(in);
          if (line == null) {
            break;
          }
          if (line.startsWith("VA ")) {
            in.readNBytes(Integer.parseInt(line.split(" ")[1]) + 2);
          }
          Kit.sleep(20);
        }
      } catch (IOException e) {
        Kit.sleep(20);
      }
    }
  }
}
