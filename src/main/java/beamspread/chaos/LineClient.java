package beamspread.chaos;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection, on which commands and answers are lines; opened anew after a close. */
final class LineClient implements AutoCloseable {
  private static final int MOST_LINE = 256;

  private final InetSocketAddress to;
  private final int connectMillis;
  private final int answerMillis;
  private Socket socket;
  private InputStream in;

  LineClient(InetSocketAddress to, int connectMillis, int answerMillis) {
    this.to = to;
    this.connectMillis = connectMillis;
    this.answerMillis = answerMillis;
  }

  /** Sends a command, on a new connection where there is none. */
  void send(String command) throws IOException {
    if (socket == null) {
      Socket fresh = new Socket();
      socket = fresh;
      fresh.connect(to, connectMillis);
      fresh.setSoTimeout(answerMillis);
      fresh.setTcpNoDelay(true);
      in = new BufferedInputStream(fresh.getInputStream());
    }
    socket.getOutputStream().write(command.getBytes(StandardCharsets.US_ASCII));
  }

  /** The next line, without its end. */
  String line() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0 || line.length() > MOST_LINE) {
        throw new IOException("no whole line");
      }
      line.append((char) next);
    }
    return line.toString().strip();
  }

  @Override
  public void close() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // It is gone in any case.
    }
    socket = null;
  }
}
