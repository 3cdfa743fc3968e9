package beamspread.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;

/**
 * Blocks a node's event loop in its processing of sockets, by a connection of its own, until all
 * timers that are due within the given time have become due: they run next, before the sockets are
 * read again. Data sent meanwhile is in the sockets when those timers run.
 */
final class Hold implements AutoCloseable {
  private final CountDownLatch held = new CountDownLatch(1);
  private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
  private final Socket peer;
  private final Channel channel;

  Hold(Node node, long nanos) throws IOException, InterruptedException {
    CountDownLatch begun = new CountDownLatch(1);
    channel =
        new Bootstrap()
            .group(node.loop())
            .channel(NioSocketChannel.class)
            .handler(
                new ChannelInboundHandlerAdapter() {
                  @Override
                  public void channelRead(ChannelHandlerContext ctx, Object message)
                      throws InterruptedException {
                    ReferenceCountUtil.release(message);
                    begun.countDown();
                    held.await();
                  }
                })
            .connect(listener.getLocalSocketAddress())
            .sync()
            .channel();
    peer = listener.accept();
    peer.getOutputStream().write(1);
    begun.await();
    long until = System.nanoTime() + nanos;
    while (System.nanoTime() - until < 0) {
      Thread.sleep(10);
    }
  }

  void release() {
    held.countDown();
  }

  @Override
  public void close() throws IOException {
    release();
    channel.close();
    peer.close();
    listener.close();
  }
}
