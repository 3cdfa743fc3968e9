package beamspread.node.mgmt;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.LeakCheck;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/** Callers that send nothing or part of a call and keep their connection open. */
@ExtendWith(LeakCheck.class)
class MgmtServerTest {
  private static final int SOCKET_TIMEOUT_MILLIS = 20_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<Socket> sockets = new ArrayList<>();

  @AfterEach
  void end() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    group.shutdownGracefully(30, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  private InetSocketAddress listen(long callTimeoutMillis) throws Exception {
    MgmtCalls calls =
        new MgmtCalls() {
          @Override
          public boolean ready() {
            return true;
          }

          @Override
          public String metrics() {
            return "{}";
          }

          @Override
          public Answer detach(String id) {
            throw new AssertionError(id);
          }

          @Override
          public Answer attach(String id) {
            throw new AssertionError(id);
          }
        };
    return (InetSocketAddress)
        new MgmtServer(
                group.next(),
                new ServerBootstrap().channel(NioServerSocketChannel.class),
                PooledByteBufAllocator.DEFAULT,
                new InetSocketAddress("127.0.0.1", 0),
                null,
                callTimeoutMillis,
                calls)
            .address();
  }

  private Socket connect(InetSocketAddress address, String text) throws IOException {
    Socket socket = new Socket();
    sockets.add(socket);
    socket.connect(address, SOCKET_TIMEOUT_MILLIS);
    socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    return socket;
  }

  @Test
  void newConnectionEvictsOldest() throws Exception {
    // The timeout is far longer than this test, so that only eviction closes a connection.
    InetSocketAddress address = listen(600_000);
    Socket oldest = connect(address, "GET /_va");
    for (int i = 0; i < MgmtServer.MAX_CONNECTIONS; i++) {
      connect(address, "");
    }
    assertThat(oldest.getInputStream().read()).isEqualTo(-1);
    Socket call = connect(address, "GET /_ready HTTP/1.1\r\nHost: n\r\n\r\n");
    assertThat(new String(call.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
        .startsWith("HTTP/1.1 200 ");
  }

  @Test
  void closesConnectionAfterTimeout() throws Exception {
    assertThat(connect(listen(50), "GET /_va").getInputStream().read()).isEqualTo(-1);
  }

  @Test
  void answersCallThatArrivesInTwoParts() throws Exception {
    Socket call = connect(listen(600_000), "GET /_ready HT");
    call.getOutputStream().write("TP/1.1\r\nHost: n\r\n\r\n".getBytes(StandardCharsets.UTF_8));
    assertThat(new String(call.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
        .contains("{\"ready\":true}");
  }
}
