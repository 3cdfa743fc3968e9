package beamspread.node;

import beamspread.loop.ListeningSocket;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.function.Supplier;

/**
 * Writes the node's status to each connection of a Unix domain socket: one line, then the
 * connection closes. File permissions decide who may connect; input is ignored.
 */
final class StatusSocket {
  private final Path file;
  private final Channel channel;

  private StatusSocket(Path file, Channel channel) {
    this.file = file;
    this.channel = channel;
  }

  /** Listens on this file; replaces a socket file that a killed predecessor has left. */
  static StatusSocket open(EventLoop loop, String path, Supplier<NodeStatus> status)
      throws IOException, InterruptedException {
    Path file = Path.of(path);
    removeStaleSocket(file);
    Channel listener =
        ListeningSocket.open(
            Transport.DOMAIN.server().group(loop),
            UnixDomainSocketAddress.of(file),
            "status socket " + path,
            connection -> connection.pipeline().addLast(new StatusWriter(status)));
    Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
    return new StatusSocket(file, listener);
  }

  private static void removeStaleSocket(Path file) throws IOException {
    if (!Files.exists(file)) {
      return;
    }
    if (Files.isRegularFile(file) || Files.isDirectory(file)) {
      throw new IOException("status socket " + file + ": the file exists and is not a socket");
    }
    try (SocketChannel probe = SocketChannel.open(StandardProtocolFamily.UNIX)) {
      probe.connect(UnixDomainSocketAddress.of(file));
    } catch (IOException e) {
      Files.delete(file);
      return;
    }
    throw new IOException("status socket " + file + ": another process listens there");
  }

  void close() {
    channel.close();
    try {
      Files.deleteIfExists(file);
    } catch (IOException e) {
      // The next start removes it.
    }
  }

  private static final class StatusWriter extends ChannelInboundHandlerAdapter {
    private final Supplier<NodeStatus> status;

    StatusWriter(Supplier<NodeStatus> status) {
      this.status = status;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      ctx.writeAndFlush(ByteBufUtil.writeUtf8(ctx.alloc(), status.get().json()))
          .addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
