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
final class EventLoopHold implements AutoCloseable {
  private final CountDownLatch released = new CountDownLatch(1);
  private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
  private final Socket peer;
  private final Channel channel;

  EventLoopHold(Node node, long nanos) throws IOException, InterruptedException {
    CountDownLatch blocked = new CountDownLatch(1);
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
                    blocked.countDown();
                    released.await();
                  }
                })
            .connect(listener.getLocalSocketAddress())
            .sync()
            .channel();
    peer = listener.accept();
    peer.getOutputStream().write(1);
    blocked.await();
    long deadline = System.nanoTime() + nanos;
    while (System.nanoTime() - deadline < 0) {
      Thread.sleep(10);
    }
  }

  void release() {
    released.countDown();
  }

  @Override
  public void close() throws IOException {
    release();
    channel.close();
    peer.close();
    listener.close();
  }
}
