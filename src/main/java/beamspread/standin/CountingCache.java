package beamspread.standin;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in cache server that fetches what it lacks from its origin, keeps it, and counts both. A
 * value is fetched once however many wait for it.
 */
public final class CountingCache implements AutoCloseable {
  private static final long FETCH_MILLIS = 20;

  private final EventLoop loop;
  private final int valueBytes;
  private final Channel listener;
  private final Map<String, Boolean> kept = new HashMap<>();
  private final Map<String, List<Runnable>> waiting = new HashMap<>();
  private final AtomicLong fetches = new AtomicLong();
  private final AtomicLong reads = new AtomicLong();

  /** An empty server on a free port of the loopback address, with values of so many bytes. */
  public CountingCache(EventLoop loop, int valueBytes) throws IOException, InterruptedException {
    this.loop = loop;
    this.valueBytes = valueBytes;
    this.listener =
        CacheServer.listen(loop, channel -> channel.pipeline().addLast(new Connection()));
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Values that it has fetched. */
  public long fetches() {
    return fetches.get();
  }

  /** Reads that it has got. */
  public long reads() {
    return reads.get();
  }

  /** The bytes that it keeps. */
  public long bytes() throws InterruptedException {
    return loop.submit(() -> (long) kept.size() * valueBytes).sync().getNow();
  }

  /** Loses all that it keeps, as at a start. */
  public void clear() {
    loop.execute(kept::clear);
  }

  @Override
  public void close() {
    listener.close();
  }

  private final class Connection extends MetaCommands {
    @Override
    void command(ChannelHandlerContext ctx, String[] words) {
      if (words[0].equals("mn")) {
        ctx.writeAndFlush(ByteBufUtil.writeAscii(ctx.alloc(), "MN\r\n"));
        return;
      }
      reads.incrementAndGet();
      String key = words[1];
      if (kept.containsKey(key)) {
        answer(ctx, words, "h1");
        return;
      }
      List<Runnable> all = waiting.get(key);
      if (all == null) {
        all = new ArrayList<>();
        waiting.put(key, all);
        fetches.incrementAndGet();
        loop.schedule(() -> fetched(key), FETCH_MILLIS, TimeUnit.MILLISECONDS);
      }
      all.add(() -> answer(ctx, words, "h0"));
    }

    private void answer(ChannelHandlerContext ctx, String[] words, String note) {
      // The same for all variants of an object.
      String object = words[1].substring(words[1].lastIndexOf('/') + 1);
      String value = (object + "-").repeat(valueBytes / (object.length() + 1) + 1);
      String line = "VA " + valueBytes + " " + id(words) + " " + note + "\r\n";
      String text = line + value.substring(0, valueBytes) + "\r\n";
      ctx.writeAndFlush(ByteBufUtil.writeAscii(ctx.alloc(), text));
    }
  }

  private void fetched(String key) {
    kept.put(key, true);
    waiting.remove(key).forEach(Runnable::run);
  }
}
