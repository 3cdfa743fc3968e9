package beamspread.store;

import beamspread.loop.ListeningSocket;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.flow.FlowControlHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A store that cache servers read through to: {@code mg} reads a sheet, {@code ms} writes one and
 * is answered once it is durable. Reads have a thread of their own and a bounded queue, so that
 * they go on while writes wait for the disk.
 */
public final class StoreServer implements AutoCloseable {
  private static final int READS_WAITING = 1024;
  private static final int MOST_CONNECTIONS = 512;

  private final SheetStore store;
  private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ThreadPoolExecutor reads =
      new ThreadPoolExecutor(
          1,
          1,
          0,
          TimeUnit.SECONDS,
          new ArrayBlockingQueue<>(READS_WAITING),
          task -> new Thread(task, "store-reads"));
  private final AtomicInteger open = new AtomicInteger();
  private final Channel listener;

  /** Serves a store, which it closes with itself. */
  public StoreServer(SheetStore store, InetSocketAddress address)
      throws IOException, InterruptedException {
    this.store = store;
    try {
      listener =
          ListeningSocket.open(
              new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class),
              address,
              "cannot listen on " + address.getHostString() + ":" + address.getPort(),
              this::accept);
    } catch (IOException e) {
      end();
      throw e;
    }
  }

  private void accept(Channel channel) {
    if (open.incrementAndGet() > MOST_CONNECTIONS) {
      open.decrementAndGet();
      channel.close();
      return;
    }
    channel.closeFuture().addListener(closed -> open.decrementAndGet());
    // Holds back what one read has brought beyond the commands that may be open: else a burst on
    // one
    // connection would fill the queue that all share.
    channel
        .pipeline()
        .addLast(
            new MetaReader(), new FlowControlHandler(), new StoreConnection(store, this::read));
  }

  /** Runs a read; false if too many wait. */
  private boolean read(Runnable task) {
    try {
      reads.execute(task);
      return true;
    } catch (RejectedExecutionException e) {
      return false;
    }
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Takes nothing new, lets the transaction under way end, and closes. */
  @Override
  public void close() {
    listener.close().awaitUninterruptibly();
    end();
  }

  private void end() {
    store.close();
    reads.shutdown();
    loop.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
