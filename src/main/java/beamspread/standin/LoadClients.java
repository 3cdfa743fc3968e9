package beamspread.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A bounded stream of clients' requests over several nodes. As clients do, one whose connection
 * breaks, or whose request has failed, asks another node while it has time; a request is lost when
 * it has had no final answer by then.
 */
public final class LoadClients {
  private static final long TICK_MILLIS = 5;
  private static final long PATIENCE_MILLIS = 1500;

  /** A node is asked by so many connections at most. */
  private static final int MOST_CONNECTIONS = 24;

  private static final int KEYS = 2000;

  /** Nodes that are kept of a request's tries. */
  private static final int MOST_TRIED = 64;

  /** What has come of the requests so far. */
  public record Counts(long asked, long served, long refused, long failed, long lost, long again) {
    /** Requests that have no end yet. */
    public long open() {
      return asked - served - refused - failed - lost;
    }
  }

  /**
   * How a request that was not served ended.
   *
   * @param fate refused, failed or lost
   * @param askedAt when it was first asked, by {@link System#nanoTime}
   * @param tried the nodes that it was sent to, in turn
   */
  public record End(
      String key, boolean write, String fate, long askedAt, List<InetSocketAddress> tried) {}

  /** One thing that a client wants. */
  private static final class Demand {
    final String key;
    final boolean write;
    final String idempotency;
    final long askedAt = System.nanoTime();
    final long until;
    final List<InetSocketAddress> tried = new ArrayList<>();
    boolean repeat;
    boolean over;

    Demand(String key, boolean write, String idempotency, long until) {
      this.key = key;
      this.write = write;
      this.idempotency = idempotency;
      this.until = until;
    }
  }

  private final EventLoop loop;
  private final Supplier<List<InetSocketAddress>> nodes;
  private final SplittableRandom random;
  private final long slackMillis;
  private final Consumer<End> ends;
  private final Map<InetSocketAddress, ArrayDeque<Connection>> idle = new HashMap<>();
  private final Map<InetSocketAddress, Integer> connections = new HashMap<>();
  private final CompletableFuture<Void> done = new CompletableFuture<>();
  private ScheduledFuture<?> ticks;
  private long asked;
  private long served;
  private long refused;
  private long failed;
  private long lost;
  private long again;
  private long number;
  private long target;
  private double rate;
  private long beganAt;
  private int turn;

  /** Clients of these nodes, which may come and go. */
  public LoadClients(EventLoop loop, Supplier<List<InetSocketAddress>> nodes, long seed) {
    this(loop, nodes, seed, 0, end -> {});
  }

  /**
   * The same.
   *
   * @param slackMillis how much later than in its time an answer may come before it counts as lost
   * @param ends told of each request that is not served, on the loop
   */
  public LoadClients(
      EventLoop loop,
      Supplier<List<InetSocketAddress>> nodes,
      long seed,
      long slackMillis,
      Consumer<End> ends) {
    this.slackMillis = slackMillis;
    this.ends = ends;
    this.loop = loop;
    this.nodes = nodes;
    this.random = new SplittableRandom(seed);
    // Ids must never have been used before, also by an earlier run against the same nodes.
    this.number = System.nanoTime() << 8;
  }

  /** Asks so many requests in all, so many a second; done when each has come to an end. */
  public CompletableFuture<Void> run(long requests, double perSecond) {
    loop.execute(
        () -> {
          target = requests;
          rate = perSecond;
          beganAt = System.nanoTime();
          ticks = loop.scheduleAtFixedRate(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
        });
    return done;
  }

  /** Asks nothing more. */
  public void stop() {
    loop.execute(() -> target = asked);
  }

  /** What has come of the requests so far. */
  public CompletableFuture<Counts> counts() {
    CompletableFuture<Counts> counts = new CompletableFuture<>();
    loop.execute(() -> counts.complete(now()));
    return counts;
  }

  private Counts now() {
    return new Counts(asked, served, refused, failed, lost, again);
  }

  private void tick() {
    double seconds = (System.nanoTime() - beganAt) / 1e9;
    while (asked < target && asked < seconds * rate) {
      asked++;
      boolean write = random.nextInt(10) == 0;
      Demand demand =
          new Demand(
              "k" + random.nextInt(KEYS),
              write,
              Long.toHexString(random.nextLong()),
              System.nanoTime() + PATIENCE_MILLIS * 1_000_000);
      loop.schedule(() -> outOfTime(demand), PATIENCE_MILLIS + slackMillis, TimeUnit.MILLISECONDS);
      ask(demand);
    }
    if (asked >= target && now().open() == 0) {
      ticks.cancel(false);
      // A close is told at once, and takes the connection off its list.
      for (ArrayDeque<Connection> all : idle.values()) {
        List.copyOf(all).forEach(connection -> connection.channel.close());
      }
      done.complete(null);
    }
  }

  private void outOfTime(Demand demand) {
    if (!demand.over) {
      lost++;
      end(demand, "lost");
    }
  }

  private void end(Demand demand, String fate) {
    demand.over = true;
    ends.accept(new End(demand.key, demand.write, fate, demand.askedAt, List.copyOf(demand.tried)));
  }

  private void ask(Demand demand) {
    List<InetSocketAddress> all = nodes.get();
    if (demand.over) {
      return;
    }
    if (all.isEmpty()) {
      later(demand);
      return;
    }
    InetSocketAddress node = all.get(turn++ % all.size());
    Connection free = idle.computeIfAbsent(node, key -> new ArrayDeque<>()).poll();
    if (free != null) {
      free.send(demand);
    } else if (connections.getOrDefault(node, 0) < MOST_CONNECTIONS) {
      connect(node, demand);
    } else {
      later(demand);
    }
  }

  private void later(Demand demand) {
    loop.schedule(() -> ask(demand), 2 * TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void again(Demand demand) {
    demand.repeat = true;
    again++;
    later(demand);
  }

  private void connect(InetSocketAddress node, Demand demand) {
    connections.merge(node, 1, Integer::sum);
    Connection connection = new Connection(node);
    var connected =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 500)
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(connection);
                  }
                })
            .connect(node);
    connected
        .channel()
        .closeFuture()
        .addListener(
            closed -> {
              connections.merge(node, -1, Integer::sum);
              idle.getOrDefault(node, new ArrayDeque<>()).remove(connection);
              connection.broken();
            });
    connected.addListener(
        up -> {
          if (up.isSuccess()) {
            connection.channel = connected.channel();
            connection.send(demand);
          } else {
            later(demand);
          }
        });
  }

  private final class Connection extends ByteToMessageDecoder {
    private final InetSocketAddress node;
    private Channel channel;
    private Demand open;
    private String id;

    Connection(InetSocketAddress node) {
      this.node = node;
    }

    void send(Demand demand) {
      long millis = (demand.until - System.nanoTime()) / 1_000_000;
      if (demand.over || millis < 10) {
        idle.get(node).add(this);
        return;
      }
      open = demand;
      if (demand.tried.size() < MOST_TRIED) {
        demand.tried.add(node);
      }
      id = Long.toHexString(++number);
      String flags =
          " O"
              + id
              + (demand.write ? " Pc=put,d=" : " Pc=read,d=")
              + millis
              + (demand.write ? ",k=" + demand.idempotency : "")
              + (demand.repeat ? ",r=1" : "");
      String command =
          demand.write
              ? "ms " + demand.key + " 5" + flags + "\r\nworld\r\n"
              : "mg " + demand.key + " v" + flags + "\r\n";
      channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), command));
    }

    void broken() {
      Demand demand = open;
      open = null;
      if (demand != null && !demand.over) {
        again(demand);
      }
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
      int length = in.bytesBefore((byte) '\n');
      if (length < 0) {
        return;
      }
      String line = in.toString(in.readerIndex(), length, StandardCharsets.ISO_8859_1).strip();
      String[] words = line.split(" ");
      int size = words[0].equals("VA") ? Integer.parseInt(words[1]) + 2 : 0;
      if (in.readableBytes() < length + 1 + size) {
        return;
      }
      in.skipBytes(length + 1 + size);
      Demand demand = open;
      open = null;
      boolean good =
          (words[0].equals("VA") && words.length > 2 && words[2].equals("O" + id))
              || (words[0].equals("HD") && words.length > 1 && words[1].equals("O" + id));
      if (demand == null) {
        ctx.close();
        return;
      }
      idle.get(node).add(this);
      if (demand.over) {
        return;
      }
      if (good) {
        demand.over = true;
        served++;
      } else if (line.startsWith("SERVER_ERROR busy")) {
        refused++;
        end(demand, "refused");
      } else if (demand.repeat) {
        failed++;
        end(demand, "failed");
      } else {
        again(demand);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
