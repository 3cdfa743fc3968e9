import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Discovery on the node's own machine (lists are pushed): a watch begins with the whole list, gets
 * changes as they are told, and an empty line every 2 s.
 */
final class Watch {
  private final ServerSocket listener;
  private final Supplier<String> whole;
  private final List<OutputStream> watches = new ArrayList<>();

  /** The whole list is asked for whenever a watch begins. */
  Watch(Supplier<String> whole) throws IOException {
    this.whole = whole;
    listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    Kit.daemon(this::accept);
    Kit.daemon(
        () -> {
          while (true) {
            Kit.sleep(2000);
            tell("");
          }
        });
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
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
    try {
      String request = Kit.line(socket.getInputStream());
      Kit.note("discovery is asked: " + request);
      String header = request;
      while (header != null && !header.isEmpty()) {
        header = Kit.line(socket.getInputStream());
      }
      OutputStream out = socket.getOutputStream();
      if (request == null) {
        return;
      }
      synchronized (this) {
        String list = whole.get();
        if (request.contains("follow=1")) {
          out.write(
              Kit.ascii(
                  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                      + "Transfer-Encoding: chunked\r\n\r\n"));
          chunk(out, list + "\n");
          watches.add(out);
        } else {
          byte[] bytes = list.getBytes(StandardCharsets.UTF_8);
          out.write(
              Kit.ascii(
                  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                      + bytes.length
                      + "\r\n\r\n"));
          out.write(bytes);
        }
      }
    } catch (IOException e) {
      Kit.note("discovery: " + e);
    }
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.write(Kit.ascii(Integer.toHexString(bytes.length) + "\r\n"));
    out.write(bytes);
    out.write(Kit.ascii("\r\n"));
    out.flush();
  }

  /** Writes a line to all watches. */
  synchronized void tell(String line) {
    watches.removeIf(
        out -> {
          try {
            chunk(out, line + "\n");
            return false;
          } catch (IOException e) {
            return true;
          }
        });
  }
}
