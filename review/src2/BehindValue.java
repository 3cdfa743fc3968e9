import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Requests that a client has sent behind one whose large value breaks off. */
final class BehindValue {
  private static final int VALUE = 1 << 20;
  private static final int BEHIND = 4;
  private static final Set<String> RUN = ConcurrentHashMap.newKeySet();

  /** A cache server, one connection of which is reset within a large value. */
  private static final class Breaking extends Cache {
    Breaking(String id) throws IOException {
      super(id);
    }

    @Override
    void answer(Command command, Socket socket, OutputStream out) throws IOException {
      if (command.name().equals("ms")) {
        RUN.add(command.id());
      }
      if (!command.key().startsWith("big")) {
        super.answer(command, socket, out);
      } else if (!Kit.TROUBLE) {
        value(command, VALUE, out);
      } else {
        out.write(Kit.ascii("VA " + VALUE + " O" + command.id() + " h1\r\n"));
        out.write(new byte[VALUE / 3]);
        Kit.sleep(200);
        Kit.note("cache server " + id + ": its connection is reset within " + command.id());
        socket.setSoLinger(true, 0);
        socket.close();
      }
    }
  }

  public static void main(String[] arguments) throws Exception {
    Kit.begin(arguments[0]);
    List<Cache> caches = new ArrayList<>();
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      Cache cache = new Breaking("s-" + i);
      caches.add(cache);
      entries.add(cache.entry("active", 0));
    }
    String list =
        "{\"version\":1,\"full\":true,\"servers\":[" + String.join(",", entries) + "]}";
    Watch watch = new Watch(() -> list);
    InetSocketAddress listen = new InetSocketAddress("127.0.0.1", Kit.freePort());
    Path config = Kit.temporary().resolve("n0.json");
    Kit.write(
        config,
        Configs.text("n0", listen, watch.address(), list, Configs.SETTINGS.formatted(2, 0), ""));
    Kit.node("n0", config);
    Kit.awaitReady(listen);
    Kit.sleep(500);
    int lost = 0;
    for (int i = 0; i < 10; i++) {
      lost += client(listen, i);
      Kit.sleep(300);
    }
    Kit.say("lost in all: " + lost);
    Kit.end(lost > 0 ? 1 : 0);
  }

  /** One client, which sends a read of a large value and some writes at once. */
  private static int client(InetSocketAddress node, int number) throws IOException {
    ByteArrayOutputStream commands = new ByteArrayOutputStream();
    List<String> writes = new ArrayList<>();
    commands.write(Kit.ascii("mg big" + number + " v Oread" + number + " Pc=square-read,d=2000\r\n"));
    for (int i = 0; i < BEHIND; i++) {
      String id = "write" + number + "-" + i;
      writes.add(id);
      commands.write(
          Kit.ascii("ms sheet" + number + "-" + i + " 5 O" + id + " Pc=sheet-submit,d=1000\r\nhello\r\n"));
    }
    try (Socket socket = new Socket()) {
      socket.connect(node, 1000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(5000);
      socket.getOutputStream().write(commands.toByteArray());
      Kit.note("client " + number + " has sent a read and " + BEHIND + " writes");
      InputStream in = new BufferedInputStream(socket.getInputStream());
      int whole = 0;
      try {
        String line = Kit.line(in);
        Kit.note("client " + number + " reads " + line);
        if (line != null && line.startsWith("VA ")) {
          int length = Integer.parseInt(line.split(" ")[1]);
          int read = in.readNBytes(length + 2).length;
          Kit.note("client " + number + " reads " + read + " bytes of " + length);
        }
        for (line = Kit.line(in); line != null; line = Kit.line(in)) {
          Kit.note("client " + number + " reads " + line);
          whole++;
          for (String id : List.copyOf(writes)) {
            if (line.contains("O" + id + " ") || (line.startsWith("SERVER_ERROR") && id.equals(writes.get(0)))) {
              writes.remove(id);
              break;
            }
          }
          if (writes.isEmpty()) {
            break;
          }
        }
      } catch (IOException e) {
        Kit.note("client " + number + ": " + e);
      }
      int lost = 0;
      for (String id : writes) {
        // One that no cache server has got may not have been read: it is not counted.
        if (RUN.contains(id)) {
          lost++;
          Kit.note(id + " was run, and its connection ended with no answer to it");
        }
      }
      Kit.say("client " + number + ": " + whole + " answers to " + BEHIND + " writes, " + lost
          + " that a cache server has run have none");
      return lost;
    }
  }
}
