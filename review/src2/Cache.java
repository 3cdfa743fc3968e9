import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound cache server: answers each command of a connection in its order. What it has got is in
 * the record. A case may have it do something else with a command.
 */
class Cache {
  private static final AtomicLong RECEIPTS = new AtomicLong();
  final String id;
  private final ServerSocket listener;

  /** A command as it came. */
  record Command(String name, String key, String id, byte[] value, String line) {}

  Cache(String id) throws IOException {
    this.id = id;
    listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    Kit.daemon(this::accept);
  }

  String entry(String state, long startedMillis) {
    return ("{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"budapest\",\"kind\":\"big-box\","
            + "\"cell\":0,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}")
        .formatted(id, listener.getLocalPort(), state, startedMillis);
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        Kit.daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        Command command = read(in);
        if (command == null) {
          return;
        }
        if (!command.name().equals("mn")) {
          Kit.note("cache server " + id + " got " + command.line());
        }
        answer(command, socket, out);
      }
    } catch (IOException e) {
      Kit.note("cache server " + id + ": " + e);
    }
  }

  private static Command read(InputStream in) throws IOException {
    String line = Kit.line(in);
    if (line == null) {
      return null;
    }
    String[] words = line.split(" ");
    String opaque = "";
    for (String word : words) {
      opaque = word.startsWith("O") ? word.substring(1) : opaque;
    }
    byte[] value = new byte[0];
    if (words[0].equals("ms")) {
      value = in.readNBytes(Integer.parseInt(words[2]));
      in.readNBytes(2);
    }
    return new Command(words[0], words.length > 1 ? words[1] : "", opaque, value, line);
  }

  /** Answers a command. */
  void answer(Command command, Socket socket, OutputStream out) throws IOException {
    switch (command.name()) {
      case "mn" -> out.write(Kit.ascii("MN\r\n"));
      case "ms" -> {
        String receipt = Long.toHexString(RECEIPTS.incrementAndGet());
        Kit.note("cache server " + id + " has run write " + command.id());
        out.write(Kit.ascii("HD O" + command.id() + " c" + receipt + "\r\n"));
      }
      default -> value(command, 64, out);
    }
  }

  static void value(Command command, int length, OutputStream out) throws IOException {
    byte[] value = new byte[length];
    Arrays.fill(value, (byte) 'x');
    out.write(Kit.ascii("VA " + length + " O" + command.id() + " h1\r\n"));
    out.write(value);
    out.write(Kit.ascii("\r\n"));
  }
}
