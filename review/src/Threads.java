import java.io.IOException;
import java.net.Socket;

/** Small helps with threads and sockets. */
final class Threads {
  private Threads() {}

  static Thread start(Runnable task) {
    Thread thread = new Thread(null, task, "stand-in", 256 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleepUntil(long nanos) throws InterruptedException {
    long left = nanos - System.nanoTime();
    if (left > 0) {
      Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Closes a connection with a reset. */
  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
  }
}
