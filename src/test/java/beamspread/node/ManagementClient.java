package beamspread.node;

import beamspread.sim.Message;
import beamspread.sim.WireException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client for the operators' calls of a node. */
final class ManagementClient {
  /**
   * An answer to a call.
   *
   * @param status 0 if the connection ended without an answer
   */
  record Answer(int status, Message body) {}

  private final InetSocketAddress address;

  ManagementClient(InetSocketAddress address) {
    this.address = address;
  }

  /** Sends this text as it is, and reads to the end of the connection. */
  Answer sendRaw(String request) throws IOException, WireException {
    try (Socket socket = new Socket()) {
      socket.connect(address, 20_000);
      socket.setSoTimeout(20_000);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      if (response.isEmpty()) {
        return new Answer(0, null);
      }
      return new Answer(
          Integer.parseInt(response.split(" ")[1]),
          Message.parse(response.substring(response.indexOf("\r\n\r\n") + 4)));
    }
  }

  Answer get(String path) throws IOException, WireException {
    return sendRaw("GET " + path + " HTTP/1.1\r\nHost: node\r\n\r\n");
  }

  Answer post(String path, String body) throws IOException, WireException {
    return post(path, body, "");
  }

  Answer post(String path, String body, String headers) throws IOException, WireException {
    return sendRaw(
        "POST %s HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n%s\r\n%s"
            .formatted(path, body.length(), headers, body));
  }

  Answer detach(String id) throws IOException, WireException {
    return post("/_cache-servers/detach", "{\"member\":\"" + id + "\"}");
  }

  Answer attach(String id) throws IOException, WireException {
    return post("/_cache-servers/attach", "{\"member\":\"" + id + "\"}");
  }
}
