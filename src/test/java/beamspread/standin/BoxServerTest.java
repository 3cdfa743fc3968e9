package beamspread.standin;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class BoxServerTest {
  private static final long MS = 1_000_000L;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final CentralStore store = new CentralStore(group.next(), 1, 1, () -> 100 * MS);
  private BoxServer box;

  @AfterEach
  void end() {
    box.close();
    group.shutdownGracefully(30, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  private void box(int cores, int queue, int connections) throws Exception {
    box =
        new BoxServer(
            group.next(),
            new BoxServer.Kind(cores, 1, queue, connections, 0, 2),
            store,
            () -> 20 * MS);
  }

  private final class Client implements AutoCloseable {
    final Socket socket = new Socket(box.address().getAddress(), box.address().getPort());
    final BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));

    Client() throws IOException {
      socket.setSoTimeout(20_000);
    }

    void ask(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    String line() throws IOException {
      String line = in.readLine();
      return line != null && line.startsWith("VA") ? line + " " + in.readLine() : line;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  @Test
  void aKeyIsFetchedOnceForAllWhoWaitAndAnswersKeepTheirOrder() throws Exception {
    box(2, 10, 10);
    try (Client client = new Client()) {
      client.ask("mg a v O1\r\nmg a v O2\r\nmn\r\n");
      assertThat(client.line()).isEqualTo("VA 5 O1 h0 value");
      assertThat(client.line()).isEqualTo("VA 5 O2 h0 Z value");
      assertThat(client.line()).isEqualTo("MN");
      client.ask("mg a v O3\r\n");
      assertThat(client.line()).isEqualTo("VA 5 O3 h1 value");
      assertThat(group.next().submit(store::fetches).get()).isEqualTo(1);
      client.ask("ms a 3 O4\r\nnew\r\n");
      assertThat(client.line()).startsWith("HD O4 c");
      client.ask("mg a v O5\r\n");
      assertThat(client.line()).isEqualTo("VA 5 O5 h0 value");
    }
  }

  @Test
  void theLeastRecentlyUsedKeyGoesFirst() throws Exception {
    box(1, 10, 10);
    try (Client client = new Client()) {
      for (String key : new String[] {"a", "b", "a", "c", "a"}) {
        client.ask("mg " + key + " v O1\r\n");
        client.line();
      }
      client.ask("mg a v O1\r\nmg b v O2\r\n");
      assertThat(client.line()).contains("h1");
      assertThat(client.line()).contains("h0");
    }
  }

  @Test
  void whatHasNoPlaceIsTurnedAwayHereAndAtTheDatabase() throws Exception {
    box(1, 1, 10);
    try (Client client = new Client()) {
      client.ask("mg a v O1\r\nmg b v O2\r\nmg c v O3\r\n");
      assertThat(client.line()).startsWith("VA");
      assertThat(client.line()).startsWith("VA");
      assertThat(client.line()).isEqualTo("SERVER_ERROR busy");
    }
    box.close();
    box(4, 10, 10);
    try (Client client = new Client()) {
      client.ask("mg a v O1\r\nmg b v O2\r\nmg c v O3\r\n");
      assertThat(client.line()).startsWith("VA");
      assertThat(client.line()).startsWith("VA");
      assertThat(client.line()).isEqualTo("SERVER_ERROR origin");
    }
  }

  @Test
  void aConnectionBeyondTheLimitIsClosedAndARestartLosesTheCache() throws Exception {
    box(1, 10, 1);
    try (Client client = new Client()) {
      client.ask("mg a v O1\r\n");
      assertThat(client.line()).contains("h0");
      try (Client other = new Client()) {
        assertThat(other.line()).isNull();
      }
      group.next().submit(box::end).get();
      assertThat(client.line()).isNull();
    }
    group.next().submit(() -> box.start(1, 0)).get();
    try (Client client = new Client()) {
      client.ask("mg a v O1\r\n");
      assertThat(client.line()).contains("h0");
    }
    assertThat(group.next().submit(box::turnedDown).get()).isEqualTo(1);
  }

  @Test
  void closesFromAnotherThreadWhileConnectionsEnd() throws Exception {
    for (int round = 0; round < 20; round++) {
      box(1, 200, 200);
      List<Client> clients = new ArrayList<>();
      for (int i = 0; i < 100; i++) {
        clients.add(new Client());
        clients.get(i).ask("mn\r\n");
      }
      for (Client client : clients) {
        assertThat(client.line()).isEqualTo("MN");
      }
      for (Client client : clients) {
        client.socket.setSoLinger(true, 0);
        client.close();
      }
      box.close();
    }
  }
}
