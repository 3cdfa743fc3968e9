package beamspread.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** Passes connections on to an address of this machine, and counts the bytes of both directions. */
public final class CountingProxy implements AutoCloseable {
  private static final int BACKLOG = 64;
  private static final int PART = 16 << 10;

  private final InetSocketAddress target;
  private final ServerSocket listener;
  private final AtomicLong bytes = new AtomicLong();

  /** Listens on a free port. */
  public CountingProxy(InetSocketAddress target) throws IOException {
    this.target = target;
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    thread(this::accept);
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** How many bytes have gone either way so far. */
  public long bytes() {
    return bytes.get();
  }

  private interface Step {
    void run() throws IOException;
  }

  private static void thread(Step step) {
    Thread thread =
        new Thread(
            () -> {
              try {
                step.run();
              } catch (IOException e) {
                // One end has closed.
              }
            },
            "counting-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() throws IOException {
    while (!listener.isClosed()) {
      Socket from = listener.accept();
      thread(() -> connect(from));
    }
  }

  private void connect(Socket from) throws IOException {
    try (from;
        Socket to = new Socket(target.getAddress(), target.getPort())) {
      thread(() -> pass(to, from));
      pass(from, to);
    }
  }

  private void pass(Socket from, Socket to) throws IOException {
    InputStream in = from.getInputStream();
    OutputStream out = to.getOutputStream();
    byte[] part = new byte[PART];
    for (int read = in.read(part); read >= 0; read = in.read(part)) {
      bytes.addAndGet(read);
      out.write(part, 0, read);
    }
    to.shutdownOutput();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
