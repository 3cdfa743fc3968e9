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
 * A simulated discovery service whose behaviour can be changed while it runs: it sends its list to
 * watches, or fails in one of the ways of a real service. Uses one thread per call.
 */
final class ScriptedDiscovery implements AutoCloseable {
  private static final long HEARTBEAT_MILLIS = 500;

  /** Connections that are certain to fill an accept queue of length one. */
  private static final int BACKLOG_FILLERS = 8;

  /** How long the discovery of the protocol queues a call at most. */
  static final long MAX_QUEUE_MILLIS = 2000;

  /** A way to answer calls. */
  interface Behaviour {
    /** Answers one call; its connection is closed on return. */
    void answer(Call call) throws IOException, InterruptedException;
  }

  /** One call and its connection. */
  record Call(Socket socket, String path) {
    void write(String text) throws IOException {
      OutputStream out = socket.getOutputStream();
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    void reject() throws IOException {
      write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }

    /** Sends nothing more and returns when the caller has disconnected. */
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
  private volatile Behaviour behaviour = this::watch;

  /** Watches that were opened before this one are silent; counted by {@link #calls}. */
  private volatile int firstAudibleCall;

  /** Starts a service that sends this list. */
  ScriptedDiscovery(String list) throws IOException {
    this.list = list;
    listen(0);
  }

  private void listen(int port) throws IOException {
    ServerSocket opened = new ServerSocket(port, 512, InetAddress.getByName("127.0.0.1"));
    listener = opened;
    acceptor = daemon(() -> accept(opened));
  }

  /** Stops listening and waits for the accepting thread, after which the returned port is free. */
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

  /** Resets all connections and refuses new ones. */
  void goDown() throws IOException {
    stopListening();
    resetAll();
  }

  /** Listens again at the same address. */
  void comeUp() throws IOException {
    listen(listener.getLocalPort());
  }

  /** Stops accepting and fills the accept queue, so that new connections time out. */
  void fillBacklog() throws IOException {
    int port = stopListening();
    ServerSocket idle = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
    listener = idle;
    for (int i = 0; i < BACKLOG_FILLERS; i++) {
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

  /** Ends any fault. */
  void heal() throws IOException {
    behaviour = this::watch;
    resetAll();
    listen(stopListening());
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Returns the number of calls received so far. */
  int calls() {
    return calls.get();
  }

  /** Sets the list that watches send from their next heartbeat on. */
  void setList(String newList) {
    list = newList;
  }

  /** Sets the behaviour for new calls; calls in progress are not affected. */
  void setBehaviour(Behaviour newBehaviour) {
    behaviour = newBehaviour;
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
      // Closed meanwhile by the peer or by the thread that serves the call.
    }
    socket.close();
  }

  /** The normal behaviour: sends the full list at first and after each change. */
  void watch(Call call) throws IOException, InterruptedException {
    int number = calls.get();
    String sentList = list;
    call.write(Peers.WATCH_RESPONSE_HEAD + Peers.chunk(sentList + "\n"));
    while (true) {
      TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MILLIS);
      if (number < firstAudibleCall) {
        call.hang();
        return;
      }
      String current = list;
      call.write(Peers.chunk(current.equals(sentList) ? "\n" : current + "\n"));
      sentList = current;
    }
  }

  /** Lets all open watches fall silent; new ones are answered. */
  void silenceWatches() {
    firstAudibleCall = calls.get() + 1;
  }

  /** Overloaded: rejects the call after it was queued for the maximum time. */
  void overloaded(Call call) throws IOException, InterruptedException {
    TimeUnit.MILLISECONDS.sleep(MAX_QUEUE_MILLIS);
    call.reject();
  }

  /** Rejects calls at once. */
  void rejects(Call call) throws IOException {
    call.reject();
  }

  /** Stops in the middle of the answer and keeps the connection open. */
  void stallsMidway(Call call) throws IOException {
    call.write(Peers.WATCH_RESPONSE_HEAD + Peers.chunk(list.substring(0, list.length() / 2)));
    call.hang();
  }

  /** Resets the connection in the middle of the answer. */
  void resetsMidway(Call call) throws IOException {
    call.write(Peers.WATCH_RESPONSE_HEAD + Peers.chunk(list.substring(0, list.length() / 2)));
    call.reset();
  }

  /** Sends the answer byte by byte, ten a second. */
  void trickles(Call call) throws IOException, InterruptedException {
    call.write(Peers.WATCH_RESPONSE_HEAD);
    for (char c : list.toCharArray()) {
      call.write(Peers.chunk(String.valueOf(c)));
      TimeUnit.MILLISECONDS.sleep(100);
    }
  }

  /** Accepts the call and sends nothing. */
  void silent(Call call) throws IOException {
    call.hang();
  }

  /** Sends heartbeats only, and no list. */
  void heartbeatsOnly(Call call) throws IOException, InterruptedException {
    call.write(Peers.WATCH_RESPONSE_HEAD);
    while (true) {
      call.write(Peers.chunk("\n"));
      TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MILLIS);
    }
  }

  /** Sends a list that can't be parsed. */
  void malformed(Call call) throws IOException {
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
        behaviour.answer(new Call(socket, request.split(" ")[1]));
      }
    } finally {
      sockets.remove(socket);
    }
  }

  private interface Task {
    void run() throws IOException, InterruptedException;
  }

  private static Thread daemon(Task step) {
    Thread thread =
        new Thread(
            () -> {
              try {
                step.run();
              } catch (IOException | InterruptedException e) {
                // The socket was closed by the peer or by the test.
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
