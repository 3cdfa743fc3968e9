import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URL;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The id of an open request comes again, at the other process of an upgrade. */
final class IdAtUpgrade {
  private static final int SERVERS = 6;
  private static final int WRITES = 20;
  private static final Map<String, AtomicInteger> RUN = new ConcurrentHashMap<>();

  /** A cache server whose writes take most of a second, as those of a slow origin do. */
  private static final class Slow extends Cache {
    Slow(String id) throws IOException {
      super(id);
    }

    @Override
    void answer(Command command, Socket socket, OutputStream out) throws IOException {
      if (command.name().equals("ms")) {
        int times = RUN.computeIfAbsent(command.id(), id -> new AtomicInteger()).incrementAndGet();
        if (times > 1) {
          Kit.note("cache server " + id + " runs " + command.id() + " for the " + times + ". time");
        }
        Kit.sleep(700);
      }
      super.answer(command, socket, out);
    }
  }

  public static void main(String[] arguments) throws Exception {
    Kit.begin(arguments[0]);
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      entries.add(new Slow("s-" + i).entry("active", 0));
    }
    String list = "{\"version\":1,\"full\":true,\"servers\":[" + String.join(",", entries) + "]}";
    Watch watch = new Watch(() -> list);
    InetSocketAddress listen = new InetSocketAddress("127.0.0.1", Kit.freePort());
    Process old = Kit.node("n0", config("old", listen, watch, list, Kit.freePort()));
    Kit.awaitReady(listen);
    Kit.sleep(1500);
    // The connections of the usual clients, which the old process holds.
    List<Socket> usual = new ArrayList<>();
    for (int i = 0; i < WRITES; i++) {
      Socket socket = new Socket();
      socket.connect(listen, 1000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(4000);
      usual.add(socket);
      send(socket, "mg key" + i + " v Oread" + i + " Pc=square-read,d=2000\r\n");
      Kit.line(socket.getInputStream());
      socket.getInputStream().readNBytes(66);
    }
    if (Kit.TROUBLE) {
      int next = Kit.freePort();
      Kit.node("n0", config("new", listen, watch, list, next));
      while (!ready(next)) {
        Kit.sleep(20);
      }
      Kit.say("the new process says that it is ready");
    }
    for (int i = 0; i < WRITES; i++) {
      send(usual.get(i), write(i));
    }
    Kit.note("the usual clients have sent their writes");
    Kit.sleep(30);
    if (Kit.TROUBLE) {
      old.destroy();
      Kit.say("the old process gets SIGTERM, with the writes open");
    }
    Kit.sleep(100);
    // A bad client, which sends "the id of another client's open request".
    int served = 0;
    List<Socket> bad = new ArrayList<>();
    for (int i = 0; i < WRITES; i++) {
      Socket socket = new Socket();
      socket.connect(listen, 1000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(4000);
      send(socket, write(i));
      bad.add(socket);
    }
    Kit.note("a bad client has sent the same ids");
    for (int i = 0; i < WRITES; i++) {
      String line = answer(bad.get(i));
      Kit.note("the bad client reads " + line);
      served += line != null && line.startsWith("HD ") ? 1 : 0;
    }
    int answered = 0;
    for (int i = 0; i < WRITES; i++) {
      String line = answer(usual.get(i));
      Kit.note("usual client " + i + " reads " + line);
      answered += line != null && line.startsWith("HD ") ? 1 : 0;
    }
    Kit.sleep(1500);
    long twice = RUN.values().stream().filter(times -> times.get() > 1).count();
    Kit.say(
        "%d writes: %d usual ones served, the bad client was served %d times; %d ran more than once"
            .formatted(WRITES, answered, served, twice));
    if (RUN.size() < WRITES) {
      Kit.say("not all writes came to a cache server");
      Kit.end(2);
    }
    Kit.end(twice > 0 ? 1 : 0);
  }

  private static String write(int number) {
    return "ms sheet" + number + " 5 Owrite" + number + " Pc=sheet-submit,d=1000\r\nhello\r\n";
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(Kit.ascii(text));
  }

  private static String answer(Socket socket) {
    try {
      InputStream in = socket.getInputStream();
      return Kit.line(in);
    } catch (IOException e) {
      return e.toString();
    }
  }

  private static boolean ready(int port) {
    try {
      return ((HttpURLConnection) new URL("http://127.0.0.1:" + port + "/_ready").openConnection())
              .getResponseCode()
          == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private static Path config(
      String name, InetSocketAddress listen, Watch watch, String list, int mgmt)
      throws IOException {
    Path file = Kit.temporary().resolve(name + ".json");
    Kit.write(
        file,
        Configs.text(
            "n0",
            listen,
            watch.address(),
            list,
            Configs.SETTINGS.formatted(2, 0),
            "\"mgmt\":\"127.0.0.1:" + mgmt + "\","));
    return file;
  }
}
