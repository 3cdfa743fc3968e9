package beamspread.node;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in discovery whose conduct can be changed while it runs: it tells its list to watches, or
 * answers in one of the ways in which a real service fails. One thread for each call.
 */
final class ScriptedDiscovery implements AutoCloseable {
  private static final long BEAT_MILLIS = 500;

  /** More connections than a queue of one holds. */
  private static final int QUEUE_FILLED_BY = 8;

  /** How long a call may wait for its turn, as the protocol's discovery has it. */
  static final long LONGEST_WAIT_MILLIS = 2000;

  /** How calls are answered. */
  interface Conduct {
    /** Answers one call; it is over on return, and its connection is closed. */
    void answer(Call call) throws IOException, InterruptedException;
  }

  /** One call and its connection. */
  record Call(Socket socket, String path) {
    void write(String text) throws IOException {
      OutputStream out = socket.getOutputStream();
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    void refuse() throws IOException {
      write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }

    /** Says nothing more until the caller has gone. */
    void hang() throws IOException {
      while (socket.getInputStream().read() >= 0) {
        continue;
      }
    }

    void reset() throws IOException {
      ScriptedDiscovery.reset(socket);
    }
  }

  private volatile ServerSocket listener;
  private volatile Thread acceptor;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final AtomicInteger calls = new AtomicInteger();
  private volatile String list;
  private volatile Conduct conduct = this::watch;

  /** One that tells this list, which it can be given anew. */
  ScriptedDiscovery(String list) throws IOException {
    this.list = list;
    listen(0);
  }

  private void listen(int port) throws IOException {
    ServerSocket opened = new ServerSocket(port, 512, InetAddress.getByName("127.0.0.1"));
    listener = opened;
    acceptor = daemon(() -> accept(opened));
  }

  /** Stops listening; returns the port. It is free once the thread that accepts has ended. */
  private int stopListening() throws IOException {
    int port = listener.getLocalPort();
    listener.close();
    try {
      acceptor.join();
    } catch (InterruptedException e) {
      throw new InterruptedIOException();
    }
    return port;
  }

  /** It ends: its connections are reset and new ones refused. */
  void down() throws IOException {
    stopListening();
    resetAll();
  }

  /** It is back at its address. */
  void up() throws IOException {
    listen(listener.getLocalPort());
  }

  /** It accepts nothing more, and its queue of connections is full: new ones never come up. */
  void full() throws IOException {
    int port = stopListening();
    ServerSocket idle = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
    listener = idle;
    for (int i = 0; i < QUEUE_FILLED_BY; i++) {
      Socket filler = new Socket();
      sockets.add(filler);
      try {
        filler.connect(idle.getLocalSocketAddress(), 200);
      } catch (SocketTimeoutException e) {
        // The queue is full already.
        return;
      }
    }
  }

  /** It works again, whatever it did before. */
  void heal() throws IOException {
    conduct = this::watch;
    resetAll();
    listen(stopListening());
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Calls that have come so far. */
  int calls() {
    return calls.get();
  }

  /** What watches are told from their next beat on. */
  void list(String changed) {
    list = changed;
  }

  /** How calls are answered from now on; those under way go on as they were. */
  void conduct(Conduct changed) {
    conduct = changed;
  }

  /** Resets all connections. */
  void resetAll() throws IOException {
    for (Socket socket : sockets) {
      reset(socket);
    }
  }

  private static void reset(Socket socket) throws IOException {
    try {
      socket.setSoLinger(true, 0);
    } catch (SocketException e) {
      // The other end, or the thread that serves it, has closed it meanwhile.
    }
    socket.close();
  }

  /** The good conduct: a watch that is told the whole list at first and whenever it has changed. */
  void watch(Call call) throws IOException, InterruptedException {
    String told = list;
    call.write(Peers.WATCH_RESPONSE_HEAD + Peers.chunk(told + "\n"));
    while (true) {
      TimeUnit.MILLISECONDS.sleep(BEAT_MILLIS);
      String current = list;
      call.write(Peers.chunk(current.equals(told) ? "\n" : current + "\n"));
      told = current;
    }
  }

  /** It has too much to do: the call waits for its turn in vain. */
  void crowded(Call call) throws IOException, InterruptedException {
    TimeUnit.MILLISECONDS.sleep(LONGEST_WAIT_MILLIS);
    call.refuse();
  }

  /** It turns calls away at once. */
  void turnsAway(Call call) throws IOException {
    call.refuse();
  }

  /** It breaks off in the middle of its answer, and the connection stays open. */
  void breaksOff(Call call) throws IOException {
    call.write(Peers.WATCH_RESPONSE_HEAD + Peers.chunk(list.substring(0, list.length() / 2)));
    call.hang();
  }

  /** It resets the connection in the middle of its answer. */
  void resetsMidway(Call call) throws IOException {
    call.write(Peers.WATCH_RESPONSE_HEAD + Peers.chunk(list.substring(0, list.length() / 2)));
    call.reset();
  }

  /** Its answer comes byte by byte. */
  void drips(Call call) throws IOException, InterruptedException {
    call.write(Peers.WATCH_RESPONSE_HEAD);
    for (char c : list.toCharArray()) {
      call.write(Peers.chunk(String.valueOf(c)));
      TimeUnit.MILLISECONDS.sleep(100);
    }
  }

  /** It takes the call and says nothing. */
  void silent(Call call) throws IOException {
    call.hang();
  }

  /** Its watch stands and beats, and tells no list. */
  void beatsAlone(Call call) throws IOException, InterruptedException {
    call.write(Peers.WATCH_RESPONSE_HEAD);
    while (true) {
      call.write(Peers.chunk("\n"));
      TimeUnit.MILLISECONDS.sleep(BEAT_MILLIS);
    }
  }

  /** What it says can't be read. */
  void nonsense(Call call) throws IOException {
    call.write(Peers.WATCH_RESPONSE_HEAD + Peers.chunk("{\"version\":\"none\"}\n"));
    call.hang();
  }

  private void accept(ServerSocket opened) throws IOException {
    while (!opened.isClosed()) {
      Socket socket = opened.accept();
      sockets.add(socket);
      daemon(() -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException, InterruptedException {
    try (socket) {
      socket.setTcpNoDelay(true);
      var in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String request = in.readLine();
      for (String line = request; line != null && !line.isEmpty(); line = in.readLine()) {
        continue;
      }
      if (request != null) {
        calls.incrementAndGet();
        conduct.answer(new Call(socket, request.split(" ")[1]));
      }
    } finally {
      sockets.remove(socket);
    }
  }

  private interface Step {
    void run() throws IOException, InterruptedException;
  }

  private static Thread daemon(Step step) {
    Thread thread =
        new Thread(
            () -> {
              try {
                step.run();
              } catch (IOException | InterruptedException e) {
                // The other end, or the test, has closed the socket.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
