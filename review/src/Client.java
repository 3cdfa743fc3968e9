import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A sound client with one connection, one request at a time. */
final class Client implements AutoCloseable {
  final Socket socket;
  final InputStream in;
  final OutputStream out;

  Client(int port) throws IOException {
    socket = new Socket();
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2000);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
    out = socket.getOutputStream();
  }

  static String read(String key, String id, int millis) {
    return "mg " + key + " v O" + id + " Pc=square-read,d=" + millis + "\r\n";
  }

  static String write(String key, String id, int millis, String value) {
    return "ms " + key + " " + value.length() + " O" + id + " Pc=sheet-submit,d=" + millis + "\r\n"
        + value + "\r\n";
  }

  void send(String text) throws IOException {
    out.write(Command.bytes(text));
  }

  /** Reads an answer's first line, and its value if it has one; null at the end. */
  String answer() throws IOException {
    String line = Command.readLine(in);
    if (line != null && line.startsWith("VA ")) {
      in.readNBytes(Integer.parseInt(line.split(" ")[1]) + 2);
    }
    return line;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
