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
 * Tells the node's status to whoever connects to a Unix domain socket: one line, then the end. Who
 * may ask is a matter of the file's rights; nothing that is sent here is read.
 */
final class StatusSocket {
  private final Path file;
  private final Channel channel;

  private StatusSocket(Path file, Channel channel) {
    this.file = file;
    this.channel = channel;
  }

  /** Listens on this file; what a killed predecessor left of it gives way. */
  static StatusSocket open(EventLoop loop, String name, Supplier<NodeStatus> status)
      throws IOException, InterruptedException {
    Path file = Path.of(name);
    clear(file);
    Channel listener =
        ListeningSocket.open(
            Transport.DOMAIN.server().group(loop),
            UnixDomainSocketAddress.of(file),
            "status socket " + name,
            connection -> connection.pipeline().addLast(new Teller(status)));
    Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
    return new StatusSocket(file, listener);
  }

  private static void clear(Path file) throws IOException {
    if (!Files.exists(file)) {
      return;
    }
    if (Files.isRegularFile(file) || Files.isDirectory(file)) {
      throw new IOException("status socket " + file + ": a file of another kind is there");
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
      // The next start clears it away.
    }
  }

  private static final class Teller extends ChannelInboundHandlerAdapter {
    private final Supplier<NodeStatus> status;

    Teller(Supplier<NodeStatus> status) {
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
