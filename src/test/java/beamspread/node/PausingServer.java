package beamspread.node;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;

/**
 * A cache server that answers the commands of a connection in their order, each answer in pieces
 * with pauses before them. It counts the answers that its peer cut off.
 */
final class PausingServer implements AutoCloseable {
  /** A part of an answer and the pause before it; no text for an answer that never goes on. */
  record Piece(long pauseMillis, String text) {
    static final Piece NEVER = new Piece(0, null);

    /** Resets the connection. */
    static final Piece RESET = new Piece(0, "");
  }

  private static final int BACKLOG = 512;

  private final String name;
  private final Function<String, List<Piece>> script;
  private final ServerSocket listener;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  /** Commands received. */
  final AtomicInteger commands = new AtomicInteger();

  /** Answers that were begun and whose connection ended before their last piece was due. */
  final AtomicInteger cutOff = new AtomicInteger();

  PausingServer(String name, Function<String, List<Piece>> script) throws IOException {
    this(name, 0, script);
  }

  /** Starts a server at this port, 0 for any. */
  PausingServer(String name, int port, Function<String, List<Piece>> script) throws IOException {
    this.name = name;
    this.script = script;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress("127.0.0.1", port), BACKLOG);
    startThread(this::accept);
  }

  /** Returns its entry for the list of discovery. */
  String listEntry() {
    return ("{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"a\",\"kind\":\"box\","
            + "\"state\":\"active\"}")
        .formatted(name, listener.getLocalPort());
  }

  int port() {
    return listener.getLocalPort();
  }

  private interface IoTask {
    void run() throws IOException, InterruptedException;
  }

  private static void startThread(IoTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                // The peer or the test has closed the socket.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() throws IOException {
    while (!listener.isClosed()) {
      Socket socket = listener.accept();
      socket.setTcpNoDelay(true);
      sockets.add(socket);
      Connection connection = new Connection(socket);
      startThread(connection::readCommands);
      startThread(connection::writeAnswers);
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** One connection. */
  private final class Connection {
    private final Socket socket;
    private final LinkedBlockingQueue<List<Piece>> answers = new LinkedBlockingQueue<>();
    private volatile boolean ended;

    Connection(Socket socket) {
      this.socket = socket;
    }

    void readCommands() throws IOException {
      try {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (String line = Peers.line(in); line != null; line = Peers.line(in)) {
          if (line.startsWith("ms ")) {
            in.readNBytes(Integer.parseInt(line.split(" ")[2]) + 2);
          }
          if (line.equals("mn")) {
            answers.add(List.of(new Piece(0, "MN\r\n")));
          } else {
            commands.incrementAndGet();
            answers.add(script.apply(line));
          }
        }
      } finally {
        ended = true;
        socket.close();
      }
    }

    void writeAnswers() throws IOException, InterruptedException {
      while (!ended) {
        List<Piece> answer = answers.poll(50, TimeUnit.MILLISECONDS);
        if (answer != null) {
          write(answer);
        }
      }
    }

    private void write(List<Piece> answer) throws IOException {
      for (int i = 0; i < answer.size(); i++) {
        Piece piece = answer.get(i);
        if (piece.text() == null) {
          LockSupport.parkNanos(TimeUnit.MINUTES.toNanos(1));
          return;
        }
        if (piece == Piece.RESET) {
          ended = true;
          socket.setSoLinger(true, 0);
          socket.close();
          return;
        }
        if (piece.pauseMillis() > 0) {
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(piece.pauseMillis()));
        }
        if (i > 0 && ended && answer.get(answer.size() - 1).text() != null) {
          cutOff.incrementAndGet();
          return;
        }
        socket.getOutputStream().write(piece.text().getBytes(StandardCharsets.ISO_8859_1));
      }
    }
  }
}
