package beamspread.standin;

import beamspread.loop.ListeningSocket;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in cache server: meta commands of the memcache text protocol, each answered after a time
 * in the order of the commands, a key's first read as a miss. A key {@code sizeN-...} has a value
 * of N bytes, up to 4 MiB.
 */
public final class CacheServer implements AutoCloseable {
  private static final int MOST_KEYS = 100_000;

  /** What large values are cut from. */
  private static final byte[] LETTERS = new byte[(4 << 20) + 2];

  private static final Pattern SIZED = Pattern.compile("size(\\d{1,7})-.*");

  static {
    Arrays.fill(LETTERS, (byte) 'v');
  }

  /**
   * How a server behaves.
   *
   * @param answerMicros the time from a command to its answer
   * @param mostConnections connections that it takes at a time
   * @param refuses whether it closes one more at once, else says on it that it is busy
   * @param handshakeMicros the time that it works on a new connection before the first command on
   *     it begins, one connection after the other
   * @param idleMillis how long it keeps a connection that is not used, 0 for good
   */
  public record Conduct(
      long answerMicros,
      int mostConnections,
      boolean refuses,
      long handshakeMicros,
      long idleMillis) {}

  private final EventLoop loop;
  private final AtomicLong handshakes = new AtomicLong();
  private final AtomicLong beyondLimit = new AtomicLong();
  private final AtomicLong stale = new AtomicLong();
  private final Channel listener;
  private volatile Conduct conduct;
  private long handshakesUntil;
  private final AtomicLong served = new AtomicLong();
  private final AtomicLong turnedAway = new AtomicLong();
  private final Map<String, Boolean> kept =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MOST_KEYS;
        }
      };
  private final Set<Channel> open = new LinkedHashSet<>();

  /**
   * A server on a free port of the loopback address.
   *
   * @param answerMicros the time from a command to its answer
   * @param mostConnections connections that it takes; on more it says that it is busy
   */
  public CacheServer(EventLoop loop, long answerMicros, int mostConnections)
      throws IOException, InterruptedException {
    this(loop, new Conduct(answerMicros, mostConnections, false, 0, 0));
  }

  /** A server on a free port of the loopback address that behaves so. */
  public CacheServer(EventLoop loop, Conduct conduct) throws IOException, InterruptedException {
    this.loop = loop;
    this.conduct = conduct;
    this.listener = listen(loop, this::accept);
  }

  /** Behaves in another way from now on; connections that are open stay. */
  public void behave(Conduct other) {
    conduct = other;
  }

  /** Breaks all connections, with a reset to what is under way. */
  public void breakConnections() {
    loop.execute(() -> List.copyOf(open).forEach(Channel::close));
  }

  /** Connections that it has taken. */
  public long handshakes() {
    return handshakes.get();
  }

  /** Connections beyond what it takes. */
  public long beyondLimit() {
    return beyondLimit.get();
  }

  /** Commands that came on a connection which it had closed as idle. */
  public long stale() {
    return stale.get();
  }

  /** Has something listen on a free port of the loopback address. */
  static Channel listen(EventLoop loop, java.util.function.Consumer<Channel> accept)
      throws IOException, InterruptedException {
    return ListeningSocket.open(
        new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class),
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        "cannot listen",
        accept);
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Commands that it has carried out. */
  public long served() {
    return served.get();
  }

  /** Commands that it has turned away. */
  public long turnedAway() {
    return turnedAway.get();
  }

  private void accept(Channel channel) {
    boolean full = open.size() >= conduct.mostConnections();
    (full ? beyondLimit : handshakes).incrementAndGet();
    if (full && conduct.refuses()) {
      channel.close();
      return;
    }
    open.add(channel);
    channel.closeFuture().addListener(closed -> open.remove(channel));
    handshakesUntil =
        Math.max(handshakesUntil, System.nanoTime()) + conduct.handshakeMicros() * 1000;
    channel.pipeline().addLast(new Connection(full, handshakesUntil));
  }

  @Override
  public void close() {
    listener.close();
  }

  /** A line, and how long the value behind it is; negative for none. */
  private record Answer(String line, int size) {
    Answer(String line) {
      this(line, -1);
    }

    ByteBuf bytes(ByteBufAllocator allocator) {
      ByteBuf head = ByteBufUtil.writeAscii(allocator, line + "\r\n");
      return size < 0
          ? head
          : Unpooled.wrappedBuffer(
              head, Unpooled.wrappedBuffer(LETTERS, 0, size), Unpooled.copyShort(0x0D0A));
    }
  }

  private static int size(String key) {
    Matcher sized = SIZED.matcher(key);
    return sized.matches() ? Math.min(4 << 20, Integer.parseInt(sized.group(1))) : 5;
  }

  private final class Connection extends MetaCommands {
    private final boolean full;
    private final long readyAt;
    private final ArrayDeque<Answer> answers = new ArrayDeque<>();
    private long usedAt = System.nanoTime();
    private boolean ended;

    Connection(boolean full, long readyAt) {
      this.full = full;
      this.readyAt = readyAt;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
      if (conduct.idleMillis() > 0) {
        loop.schedule(() -> endIfIdle(ctx), conduct.idleMillis(), TimeUnit.MILLISECONDS);
      }
    }

    /** Ends the sending and keeps an eye on what still comes, as who has closed too late would. */
    private void endIfIdle(ChannelHandlerContext ctx) {
      long left = usedAt + conduct.idleMillis() * 1_000_000 - System.nanoTime();
      if (ended || !ctx.channel().isActive()) {
        return;
      }
      if (left > 0 || !answers.isEmpty()) {
        loop.schedule(() -> endIfIdle(ctx), Math.max(left, 1_000_000), TimeUnit.NANOSECONDS);
      } else {
        ended = true;
        ((DuplexChannel) ctx.channel()).shutdownOutput();
        loop.schedule(() -> ctx.close(), 200, TimeUnit.MILLISECONDS);
      }
    }

    @Override
    void command(ChannelHandlerContext ctx, String[] words) {
      if (ended) {
        stale.incrementAndGet();
        ctx.close();
        return;
      }
      usedAt = System.nanoTime();
      String id = id(words);
      if (words[0].equals("mn")) {
        answers.add(new Answer("MN"));
      } else if (full) {
        turnedAway.incrementAndGet();
        answers.add(new Answer("SERVER_ERROR busy"));
      } else if (words[0].equals("mg") && words.length > 2) {
        served.incrementAndGet();
        boolean hit = kept.put(words[1], true) != null;
        int size = size(words[1]);
        answers.add(new Answer("VA " + size + " " + id + (hit ? " h1" : " h0"), size));
      } else if (words[0].equals("ms") && words.length > 2) {
        long receipt = served.incrementAndGet();
        answers.add(new Answer("HD " + id + " c" + receipt));
      } else {
        answers.add(new Answer("CLIENT_ERROR bad command"));
      }
      long wait = Math.max(0, readyAt - usedAt) + conduct.answerMicros() * 1000;
      loop.schedule(
          () -> {
            usedAt = System.nanoTime();
            ctx.writeAndFlush(answers.poll().bytes(ctx.alloc()));
          },
          wait,
          TimeUnit.NANOSECONDS);
    }
  }
}
