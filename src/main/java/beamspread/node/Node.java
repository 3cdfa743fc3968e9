package beamspread.node;

import beamspread.sim.WireException;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** One load balancer node: assembles its parts around one event loop, and ends them in order. */
public final class Node implements AutoCloseable {
  /** New connections go on coming for so long after a planned restart has begun. */
  private static final long ACCEPT_MILLIS = 500;

  /** Descriptors kept for files and pipes of the virtual machine, the selector and discovery. */
  private static final int OWN_DESCRIPTORS = 48;

  /** Connections to one server, over all nodes together, that this tier opens of itself. */
  private static final int TIER_CONNECTIONS = 12;

  private final NodeConfig config;
  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final ClientConnections clients = new ClientConnections();
  private final ServerPools pools;
  private final Dispatcher dispatcher;
  private final MemoryBudget values;
  private final CountDownLatch drained = new CountDownLatch(1);
  private Channel listener;

  /** A node that is not listening yet. */
  Node(NodeConfig config) {
    this.config = config;
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
    values = new MemoryBudget((long) config.memoryMb() << 18);
    PooledByteBufAllocator allocator =
        new PooledByteBufAllocator(true, 0, 1, 8192, 6, 64, 16, true);
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.max(1, config.settings().limits().connectTimeout() * 1e3));
    pools = new ServerPools(bootstrap, serverLimits());
    dispatcher = new Dispatcher(config, loop, pools, new Log());
    this.allocator = allocator;
  }

  private final PooledByteBufAllocator allocator;

  private ServerPool.Limits serverLimits() {
    var limits = config.settings().limits();
    return new ServerPool.Limits(
        Math.max(1, TIER_CONNECTIONS / config.settings().instances()),
        // Where a request may not have two attempts out, one that is given up must be off its
        // connection before the next goes out: nothing may share it.
        limits.parallelAttempts() ? Math.max(1, limits.perConnection()) : 1,
        (long) (Math.max(1, limits.idleTimeout() / 2) * 1e9));
  }

  /** Runs a node until it is told to end; returns the exit code. */
  public static int serve(String configFile) throws InterruptedException {
    NodeConfig config;
    try {
      config = NodeConfig.load(configFile);
    } catch (WireException e) {
      System.err.println("serve: " + e.getMessage());
      return 2;
    }
    Node node = new Node(config);
    try {
      node.start();
    } catch (IOException e) {
      System.err.println("serve: cannot listen on " + config.listen() + ": " + e.getMessage());
      node.close();
      return 1;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(node::drain, "drain"));
    node.drained.await();
    return 0;
  }

  /** Listens; returns the address. */
  InetSocketAddress start() throws IOException, InterruptedException {
    loop.submit(() -> dispatcher.start(config.known())).await();
    var bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(512, 2048, 16384))
            .childHandler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                })
            .bind(config.listen())
            .await();
    if (!bound.isSuccess()) {
      throw new IOException(bound.cause().getMessage());
    }
    listener = bound.channel();
    loop.scheduleAtFixedRate(this::sweep, 1, 1, TimeUnit.SECONDS);
    return (InetSocketAddress) listener.localAddress();
  }

  private void accept(Channel channel) {
    if (clients.size() + OWN_DESCRIPTORS >= config.sockets()) {
      clients.closeIdlest();
    }
    MetaCommand.Decoder decoder = new MetaCommand.Decoder(values);
    channel.pipeline().addLast(decoder, new ClientHandler(dispatcher, clients, decoder));
  }

  private void sweep() {
    long now = System.nanoTime();
    clients.closeStuck(now);
    pools.closeStale(now);
  }

  /**
   * A planned restart: goes on accepting for as long as connections may come, then ends each one as
   * it falls idle; returns when all is answered, or when the longest deadline has passed.
   */
  void drain() {
    loop.schedule(
        () -> {
          listener.close();
          clients.drain(drained::countDown);
        },
        ACCEPT_MILLIS,
        TimeUnit.MILLISECONDS);
    try {
      long millis = (long) (config.longestDeadline() * 1e3) + ACCEPT_MILLIS + 100;
      drained.await(millis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends at once. */
  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
