package beamspread.node.tier;

import beamspread.tier.MemberRecord;
import beamspread.tier.Tier;
import beamspread.tier.TierActions;
import beamspread.tier.TierView;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Sends and receives the tier's datagrams on the node's event loop, as {@link Tier} decides. Once
 * open it may only be used on the event loop.
 */
public final class TierSocket {
  /**
   * Maximum number of datagrams read in one run of the event loop, so that requests are served in
   * between.
   */
  private static final int MAX_READS_PER_LOOP_RUN = 16;

  private final EventLoop loop;
  private final Consumer<String> log;
  private final Tier tier;
  private final Map<InetSocketAddress, Integer> numberByAddress = new HashMap<>();
  private List<InetSocketAddress> peers;
  private Channel channel;
  private ScheduledFuture<?> nextRun;
  private long nextRunAt = Long.MAX_VALUE;
  private boolean flushNeeded;
  private boolean closed;

  private TierSocket(EventLoop loop, TierConfig config, long seed, Consumer<String> log) {
    this.loop = loop;
    this.log = log;
    this.tier =
        new Tier(
            config.settings(),
            config.number(),
            config.peers().size(),
            config.info(),
            System.currentTimeMillis() / 1000,
            seed,
            System.nanoTime(),
            new SocketActions());
    setPeers(config.peers());
  }

  /**
   * Opens the socket and joins the tier.
   *
   * @param log receives a message for each change of a member
   * @throws IOException if the address cannot be bound
   */
  public static TierSocket open(EventLoop loop, TierConfig config, long seed, Consumer<String> log)
      throws IOException, InterruptedException {
    TierSocket socket = new TierSocket(loop, config, seed, log);
    var bound =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            // One byte more than the maximum, so that oversized datagrams can be recognised.
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(Tier.MAX_DATAGRAM_BYTES + 1)
                    .maxMessagesPerRead(MAX_READS_PER_LOOP_RUN))
            // Of two processes on the port, the one that bound it last receives the datagrams.
            .option(ChannelOption.SO_REUSEADDR, config.sharedPort())
            .handler(socket.new DatagramHandler())
            .bind(config.listen())
            .await();
    if (!bound.isSuccess()) {
      throw new IOException(
          "cannot listen for the tier on " + config.listen() + ": " + bound.cause().getMessage());
    }
    socket.channel = bound.channel();
    loop.execute(socket::run);
    return socket;
  }

  /** Sets the addresses of all member numbers. */
  public void setPeers(List<InetSocketAddress> addresses) {
    peers = List.copyOf(addresses);
    numberByAddress.clear();
    for (int i = 0; i < peers.size(); i++) {
      numberByAddress.put(peers.get(i), i);
    }
    tier.resize(peers.size());
  }

  private void run() {
    nextRun = null;
    nextRunAt = Long.MAX_VALUE;
    if (closed) {
      return;
    }
    tier.run(System.nanoTime());
    flushAndSchedule();
  }

  /** Flushes written datagrams and schedules the next run. */
  private void flushAndSchedule() {
    if (flushNeeded) {
      flushNeeded = false;
      channel.flush();
    }
    long due = tier.nextRunAt();
    if (!closed && due < nextRunAt) {
      if (nextRun != null) {
        nextRun.cancel(false);
      }
      nextRunAt = due;
      nextRun =
          loop.schedule(this::run, Math.max(0, due - System.nanoTime()), TimeUnit.NANOSECONDS);
    }
  }

  /** Returns the tier as this node sees it. */
  public TierView view() {
    return tier.view(System.nanoTime());
  }

  /** Returns the state machine, for access to its counts. */
  public Tier tier() {
    return tier;
  }

  /** Announces to the members that this node leaves, and closes the socket. */
  public void leave() {
    if (closed) {
      return;
    }
    tier.leave(System.nanoTime());
    flushAndSchedule();
    closed = true;
    if (nextRun != null) {
      nextRun.cancel(false);
    }
    channel.close();
  }

  private final class SocketActions implements TierActions {
    @Override
    public void send(int number, byte[] datagram) {
      if (number < peers.size() && channel != null) {
        flushNeeded = true;
        channel.write(
            new DatagramPacket(Unpooled.wrappedBuffer(datagram), peers.get(number)),
            channel.voidPromise());
      }
    }

    @Override
    public void memberChanged(MemberRecord before, MemberRecord after, String reason) {
      log.accept(
          "tier: %d %s: %s, incarnation %x, life %d"
              .formatted(
                  after.number(),
                  after.state().name().toLowerCase(java.util.Locale.ROOT),
                  reason,
                  after.incarnation(),
                  after.revision()));
    }
  }

  private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      if (!closed) {
        ByteBuf content = packet.content();
        int from = numberByAddress.getOrDefault(packet.sender(), -1);
        tier.receive(System.nanoTime(), from, ByteBufUtil.getBytes(content));
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      flushAndSchedule();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // No process listens on a peer's port. The failure detector notices the peer's silence.
    }
  }
}
