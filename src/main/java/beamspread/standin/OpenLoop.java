package beamspread.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/**
 * Requests to one node at an even pace, whether or not it keeps up: an answer's time counts from
 * when its request was due, so that a node that stands still is not asked less for it. Bounded in
 * number and time.
 */
public final class OpenLoop {
  private static final long TICK_MICROS = 1000;
  private static final int LONGEST_MILLIS = 5000;

  /** What has come of the requests that were due in one window, times in microseconds. */
  public static final class Window {
    /** How long answers took. */
    public final Histogram served = new Histogram(1, 60_000_000L, 3);

    /** Requests that were turned away, to come again. */
    public int refused;

    /** Requests without an answer that serves or turns away. */
    public int failed;
  }

  private record Asked(String id, long due, Window window) {}

  private final EventLoop loop;
  private final InetSocketAddress node;
  private final SplittableRandom random;
  private final Supplier<String> keys;
  private final List<Connection> connections = new ArrayList<>();
  private final List<Window> windows = new ArrayList<>();
  private final CompletableFuture<List<Window>> done = new CompletableFuture<>();
  private final long run = System.nanoTime();
  private ScheduledFuture<?> ticks;
  private long asked;
  private long ended;
  private int turn;

  /** Clients of one node. */
  public OpenLoop(EventLoop loop, InetSocketAddress node, long seed) {
    this(loop, node, seed, null);
  }

  /** The same, with clients that only read, and these keys. */
  public OpenLoop(EventLoop loop, InetSocketAddress node, long seed, Supplier<String> keys) {
    this.keys = keys;
    this.loop = loop;
    this.node = node;
    this.random = new SplittableRandom(seed);
  }

  /** Opens this many connections to the node, on each of which several requests may be out. */
  public OpenLoop connect(int count) throws InterruptedException {
    for (int i = 0; i < count; i++) {
      Connection connection = new Connection();
      connection.channel =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.TCP_NODELAY, true)
              .handler(
                  new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      channel.pipeline().addLast(connection);
                    }
                  })
              .connect(node)
              .sync()
              .channel();
      connections.add(connection);
    }
    return this;
  }

  /**
   * Asks so many requests a second, a tenth of them writes, for so long; the windows, once each
   * request has its end.
   */
  public CompletableFuture<List<Window>> run(int perSecond, long millis, long windowMillis) {
    long requests = perSecond * millis / 1000;
    loop.execute(
        () -> {
          long began = System.nanoTime();
          ticks =
              loop.scheduleAtFixedRate(
                  () -> tick(began, perSecond, requests, windowMillis),
                  0,
                  TICK_MICROS,
                  TimeUnit.MICROSECONDS);
        });
    loop.schedule(this::end, millis + LONGEST_MILLIS, TimeUnit.MILLISECONDS);
    return done;
  }

  private void tick(long began, int perSecond, long requests, long windowMillis) {
    long now = System.nanoTime();
    while (asked < requests) {
      long due = began + asked * (1_000_000_000L / perSecond);
      if (due - now > 0) {
        return;
      }
      int window = (int) ((due - began) / 1_000_000 / windowMillis);
      while (windows.size() <= window) {
        windows.add(new Window());
      }
      connections.get(turn++ % connections.size()).ask(due, windows.get(window));
      asked++;
    }
    if (ended == requests) {
      end();
    }
  }

  private void end() {
    if (!done.isDone()) {
      ticks.cancel(false);
      connections.forEach(connection -> connection.channel.close());
      done.complete(windows);
    }
  }

  private final class Connection extends MetaReplies {
    private final ArrayDeque<Asked> out = new ArrayDeque<>();
    private Channel channel;

    void ask(long due, Window window) {
      String id = Long.toHexString(run) + "-" + asked;
      boolean write = keys == null && random.nextInt(10) == 0;
      String key = keys == null ? "k" + random.nextInt(5000) : keys.get();
      if (!channel.isActive()) {
        window.failed++;
        ended++;
        return;
      }
      out.add(new Asked(id, due, window));
      String command =
          write
              ? "ms " + key + " 5 O" + id + " Pc=put,d=1500,k=" + id + "\r\nworld\r\n"
              : "mg " + key + " v O" + id + " Pc=read,d=1500\r\n";
      channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), command));
    }

    @Override
    protected void reply(ChannelHandlerContext ctx, String[] words) {
      Asked one = out.poll();
      if (one == null) {
        ctx.close();
        return;
      }
      ended++;
      if (serves(words)) {
        one.window().served.recordValue(Math.max(1, (System.nanoTime() - one.due()) / 1000));
      } else if (turnsAway(words)) {
        one.window().refused++;
      } else {
        one.window().failed++;
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
      super.channelInactive(ctx);
      for (Asked one = out.poll(); one != null; one = out.poll()) {
        one.window().failed++;
        ended++;
      }
    }
  }
}
