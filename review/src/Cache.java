import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound cache server on a loopback address. It begins a command when its last byte has come, and
 * answers in the order of the commands, each at its own time or later.
 */
class Cache {
  final String id;
  final ServerSocket listener;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final Map<String, Boolean> kept = new ConcurrentHashMap<>();
  private static final AtomicLong receipts = new AtomicLong();

  private record Answer(long due, byte[] bytes) {}

  Cache(String id) throws IOException {
    this.id = id;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
    Threads.start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Returns how long the command takes, in milliseconds. */
  long takesMillis(Command command, boolean hit) {
    return 5;
  }

  /** Returns the value of a key. */
  byte[] value(Command command) {
    return Command.bytes("v-" + command.key());
  }

  /** Called when a command has come in full. */
  void began(Command command) {}

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        open.add(socket);
        Threads.start(() -> serve(socket));
      }
    } catch (IOException e) {
      // Closed.
    }
  }

  private void serve(Socket socket) {
    LinkedBlockingQueue<Answer> answers = new LinkedBlockingQueue<>();
    Thread writer = Threads.start(() -> write(socket, answers));
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
      for (Command command = Command.read(in); command != null; command = Command.read(in)) {
        handle(command, answers);
      }
    } catch (IOException | RuntimeException e) {
      // The node has closed the connection.
    } finally {
      open.remove(socket);
      writer.interrupt();
    }
  }

  private void handle(Command command, LinkedBlockingQueue<Answer> answers) {
    if (command.words[0].equals("mn")) {
      answers.add(new Answer(command.at, Command.bytes("MN\r\n")));
      return;
    }
    began(command);
    boolean hit = kept.put(command.key(), true) != null;
    long due = command.at + takesMillis(command, hit) * 1_000_000L;
    if (command.isWrite()) {
      kept.remove(command.key());
      String line = "HD " + command.id() + " c" + receipts.incrementAndGet() + "\r\n";
      answers.add(new Answer(due, Command.bytes(line)));
    } else {
      byte[] value = value(command);
      byte[] head =
          Command.bytes("VA " + value.length + " " + command.id() + (hit ? " h1" : " h0") + "\r\n");
      byte[] all = new byte[head.length + value.length + 2];
      System.arraycopy(head, 0, all, 0, head.length);
      System.arraycopy(value, 0, all, head.length, value.length);
      all[all.length - 2] = '\r';
      all[all.length - 1] = '\n';
      answers.add(new Answer(due, all));
    }
  }

  private void write(Socket socket, LinkedBlockingQueue<Answer> answers) {
    try {
      OutputStream out = socket.getOutputStream();
      while (true) {
        Answer answer = answers.take();
        Threads.sleepUntil(answer.due);
        out.write(answer.bytes);
      }
    } catch (IOException | InterruptedException e) {
      // The connection has ended.
    }
  }

  /** Ends it as a process that dies: resets all connections and listens no more. */
  void die() {
    try {
      listener.close();
    } catch (IOException e) {
      // Closed already.
    }
    for (Socket socket : open) {
      Threads.reset(socket);
    }
  }
}
