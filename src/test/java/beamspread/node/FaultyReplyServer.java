package beamspread.node;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * A cache server that answers commands in their order, refuses some of them truthfully, and writes
 * lines without an id that answer nothing. It records each copy of a request that it receives.
 */
final class FaultyReplyServer implements AutoCloseable {
  /** When a line that answers nothing is written. */
  enum StrayMoment {
    NEVER,
    ON_CONNECT,
    SOON_AFTER_CONNECT,
    WITH_REQUEST,
    AFTER_ANSWER,
    REPEATED_REFUSAL,
    AT_REST
  }

  /**
   * The faults of one run.
   *
   * @param strayRate share of the connections or answers that get such a line
   * @param strayText the line
   * @param inPieces whether the line arrives in two pieces
   * @param refusalRate share of the requests that are refused and do not run
   * @param closeAfterRefusalRate share of the refusals after which the connection is closed
   * @param resetRate share of the requests under which the connection is reset
   * @param closeAfterAnswerRate share of the answers after which the connection is closed
   */
  record Faults(
      StrayMoment stray,
      double strayRate,
      String strayText,
      boolean inPieces,
      double refusalRate,
      double closeAfterRefusalRate,
      double resetRate,
      double closeAfterAnswerRate) {

    private static final List<String> LINES =
        List.of(
            "SERVER_ERROR busy",
            "SERVER_ERROR busy",
            "SERVER_ERROR busy 15",
            "SERVER_ERROR failed",
            "CLIENT_ERROR bad command line",
            "ERROR");

    static Faults draw(Random random) {
      StrayMoment[] moments = StrayMoment.values();
      return new Faults(
          moments[random.nextInt(moments.length)],
          random.nextBoolean() ? 0.1 : 0.3,
          LINES.get(random.nextInt(LINES.size())),
          random.nextBoolean(),
          random.nextBoolean() ? 0 : 0.1,
          random.nextInt(3) / 2.0,
          random.nextBoolean() ? 0 : 0.03,
          random.nextBoolean() ? 0 : 0.3);
    }
  }

  /** Time that the first command on a connection takes, as a handshake would. */
  private static final long HANDSHAKE_NANOS = 12_000_000L;

  private static final int MAX_SERVICE_MILLIS = 40;
  private static final int MAX_STRAY_DELAY_MILLIS = 10;
  private static final long PIECE_GAP_MILLIS = 1;

  /** What follows a reply on its connection. */
  private enum Ending {
    STAYS_OPEN,
    CLOSE,
    RESET
  }

  private record Reply(String text, long dueAt, Ending ending, boolean refusal) {}

  final String name;
  final String zone;
  private final Faults faults;
  private final CopyLog copies;
  private final ScheduledExecutorService scheduler;
  private final Random random;
  private final ServerSocket listener;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  FaultyReplyServer(
      String name,
      String zone,
      Faults faults,
      long seed,
      CopyLog copies,
      ScheduledExecutorService scheduler)
      throws IOException {
    this.name = name;
    this.zone = zone;
    this.faults = faults;
    this.copies = copies;
    this.scheduler = scheduler;
    this.random = new Random(seed);
    this.listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    startThread(this::accept);
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
      new Connection(socket).start();
    }
  }

  private synchronized boolean draw(double rate) {
    return random.nextDouble() < rate;
  }

  private synchronized int drawMillis(int bound) {
    return random.nextInt(bound);
  }

  /** Returns its entry for the list of discovery. */
  String listEntry() {
    return ("{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"kind\":\"box\","
            + "\"state\":\"active\"}")
        .formatted(name, listener.getLocalPort(), zone);
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** One connection: commands are begun as they arrive and answered in their order. */
  private final class Connection {
    private final Socket socket;
    private final LinkedBlockingQueue<Reply> replies = new LinkedBlockingQueue<>();
    private boolean commandReceived;

    Connection(Socket socket) {
      this.socket = socket;
    }

    void start() {
      strayAt(StrayMoment.ON_CONNECT, 0);
      strayAt(StrayMoment.SOON_AFTER_CONNECT, drawMillis(MAX_STRAY_DELAY_MILLIS));
      startThread(this::readCommands);
      startThread(this::writeReplies);
    }

    private void strayAt(StrayMoment moment, int delayMillis) {
      if (faults.stray() != moment || !draw(faults.strayRate())) {
        return;
      }
      if (delayMillis == 0) {
        writeStray();
      } else {
        scheduler.schedule(this::writeStray, delayMillis, TimeUnit.MILLISECONDS);
      }
    }

    private void writeStray() {
      try {
        write(faults.strayText() + "\r\n", faults.inPieces());
      } catch (IOException e) {
        // The connection has ended meanwhile.
      }
    }

    /** Writes a whole line; others wait, so that lines do not mix. */
    private synchronized void write(String text, boolean inPieces) throws IOException {
      OutputStream out = socket.getOutputStream();
      byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
      int first = inPieces ? bytes.length / 2 : bytes.length;
      out.write(bytes, 0, first);
      if (inPieces) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PIECE_GAP_MILLIS));
        out.write(bytes, first, bytes.length - first);
      }
    }

    private void readCommands() throws IOException {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (String line = Peers.line(in); line != null; line = Peers.line(in)) {
        if (line.startsWith("ms ")) {
          in.readNBytes(Integer.parseInt(line.split(" ")[2]) + 2);
        }
        long setup = commandReceived ? 0 : HANDSHAKE_NANOS;
        commandReceived = true;
        replies.add(line.equals("mn") ? noOpReply(setup) : reply(line, setup));
      }
      socket.close();
    }

    private static Reply noOpReply(long setup) {
      return new Reply("MN\r\n", System.nanoTime() + setup, Ending.STAYS_OPEN, false);
    }

    private Reply reply(String command, long setup) {
      strayAt(StrayMoment.WITH_REQUEST, 0);
      boolean refused = draw(faults.refusalRate());
      copies.received(Peers.flagValue(command, 'O'), name, zone, refused);
      if (refused) {
        Ending ending = draw(faults.closeAfterRefusalRate()) ? Ending.CLOSE : Ending.STAYS_OPEN;
        return new Reply("SERVER_ERROR busy\r\n", System.nanoTime() + setup, ending, true);
      }
      long dueAt = System.nanoTime() + setup + drawMillis(MAX_SERVICE_MILLIS) * 1_000_000L;
      if (draw(faults.resetRate())) {
        return new Reply("", dueAt, Ending.RESET, false);
      }
      Ending ending = draw(faults.closeAfterAnswerRate()) ? Ending.CLOSE : Ending.STAYS_OPEN;
      return new Reply(Peers.successReply(command), dueAt, ending, false);
    }

    private void writeReplies() throws IOException, InterruptedException {
      while (!socket.isClosed()) {
        Reply reply = replies.take();
        for (long wait = waitNanos(reply); wait > 0; wait = waitNanos(reply)) {
          LockSupport.parkNanos(wait);
        }
        if (reply.ending() == Ending.RESET) {
          socket.setSoLinger(true, 0);
        } else {
          write(reply.text(), false);
        }
        if (reply.ending() != Ending.STAYS_OPEN) {
          socket.close();
          return;
        }
        if (reply.refusal()) {
          strayAt(StrayMoment.REPEATED_REFUSAL, 1 + drawMillis(MAX_STRAY_DELAY_MILLIS - 1));
        } else {
          strayAt(StrayMoment.AFTER_ANSWER, drawMillis(MAX_STRAY_DELAY_MILLIS));
        }
        if (replies.isEmpty()) {
          strayAt(StrayMoment.AT_REST, 2 * MAX_SERVICE_MILLIS);
        }
      }
    }

    private static long waitNanos(Reply reply) {
      return reply.dueAt() - System.nanoTime();
    }
  }
}
