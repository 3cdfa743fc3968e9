import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Discovery that is asked: the whole list to each call, changes and empty lines to watches. */
final class Discovery {
  private static final long HEARTBEAT_MILLIS = 2000;

  private final Record record;
  private final Map<String, String> entries = new LinkedHashMap<>();
  private final Set<Watch> watches = ConcurrentHashMap.newKeySet();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final AtomicInteger beats = new AtomicInteger();
  private final int port;
  private ServerSocket listener;
  private int version = 41;

  private static final class Watch {
    final Socket socket;
    final OutputStream out;
    volatile boolean silent;

    Watch(Socket socket, OutputStream out) {
      this.socket = socket;
      this.out = out;
    }

    synchronized void chunk(String text) {
      if (!silent) {
        try {
          out.write(Command.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
          out.flush();
        } catch (IOException e) {
          // The node has closed it.
        }
      }
    }
  }

  Discovery(Record record) throws IOException {
    this.record = record;
    listener = listen(0);
    port = listener.getLocalPort();
    ServerSocket first = listener;
    Threads.start(() -> accept(first));
  }

  private static ServerSocket listen(int port) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 256);
    return socket;
  }

  int port() {
    return port;
  }

  static String entry(Cache cache, String kind, String state, double weight, long startedMillis) {
    return ("{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"budapest\",\"kind\":\"%s\","
            + "\"cell\":0,\"state\":\"%s\",\"weight\":%.2f,\"started_ms\":%d}")
        .formatted(cache.id, cache.port(), kind, state, weight, startedMillis);
  }

  /** Adds or changes an entry and tells open watches. */
  synchronized void put(String id, String entry) {
    entries.put(id, entry);
    version++;
    String change = "{\"version\":" + version + ",\"full\":false,\"servers\":[" + entry + "]}\n";
    watches.forEach(watch -> watch.chunk(change));
  }

  synchronized String list() {
    return "{\"version\":"
        + version
        + ",\"full\":true,\"servers\":["
        + String.join(",", entries.values())
        + "]}";
  }

  private void accept(ServerSocket on) {
    try {
      while (true) {
        Socket socket = on.accept();
        open.add(socket);
        Threads.start(() -> serve(socket));
      }
    } catch (IOException e) {
      // Closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String first = Command.readLine(in);
      for (String line = first; line != null && !line.isEmpty(); line = Command.readLine(in)) {}
      if (first == null) {
        return;
      }
      record.line("discovery: " + first);
      OutputStream out = socket.getOutputStream();
      if (!first.contains("follow=1")) {
        String list = list();
        out.write(
            Command.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
        return;
      }
      out.write(Command.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
      Watch watch = new Watch(socket, out);
      synchronized (this) {
        watch.chunk(list() + "\n");
        watches.add(watch);
      }
      Threads.start(() -> beat(watch));
      while (in.read() >= 0) {}
      watches.remove(watch);
    } catch (IOException e) {
      // Closed.
    } finally {
      open.remove(socket);
      watches.removeIf(watch -> watch.socket == socket);
    }
  }

  private void beat(Watch watch) {
    while (watches.contains(watch)) {
      Threads.sleep(HEARTBEAT_MILLIS);
      watch.chunk("\n");
      beats.incrementAndGet();
    }
  }

  int watchCount() {
    return watches.size();
  }

  /** Waits for the next empty line on a watch. */
  void awaitBeat() {
    int before = beats.get();
    for (int i = 0; i < 300 && beats.get() == before; i++) {
      Threads.sleep(10);
    }
  }

  /** All open watches fall silent: they stay open, and nothing more comes on them. */
  void silenceWatches() {
    watches.forEach(watch -> watch.silent = true);
  }

  /** Discovery goes down: all its connections are reset, new ones are refused. */
  void goDown() {
    try {
      listener.close();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    List<Socket> all = new ArrayList<>(open);
    all.forEach(Threads::reset);
  }

  /** Discovery is back at its address. */
  void comeBack() throws IOException {
    listener = listen(port);
    ServerSocket now = listener;
    Threads.start(() -> accept(now));
  }
}
