package beamspread.standin;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A stand-in cache box of known speed: cores before a queue, a limit on connections whose opening
 * costs work, and a cache by least recent use that fetches a key from the {@link CentralStore} once
 * for all who wait. Answers on a connection leave in the order of its commands.
 */
public final class BoxServer implements AutoCloseable {
  /**
   * What a box is like.
   *
   * @param cores how many commands it works on at a time
   * @param speed of each core, 1 for the usual
   * @param queue commands that may wait for a core
   * @param connections that it takes at a time
   * @param handshakeNanos work for a new connection
   * @param keys that it holds
   */
  public record Kind(
      int cores, double speed, int queue, int connections, long handshakeNanos, int keys) {}

  /** Who is told of an answer's line. */
  private interface Teller {
    void tell(String line);
  }

  private final EventLoop loop;
  private final Kind kind;
  private final CentralStore store;
  private final LongSupplier work;
  private final WorkQueue cores;
  private final Channel listener;
  private final Set<Connection> open = new LinkedHashSet<>();
  private final Map<String, Boolean> kept;
  private final Map<String, List<Teller>> fetches = new HashMap<>();
  private boolean up = true;
  private double part = 1;
  private double warmth = 1;
  private long epoch;
  private long commands;
  private long handshakes;
  private long turnedDown;

  /**
   * A box on a free port of the loopback address; it keeps to the loop, and so must its callers.
   *
   * @param work nanoseconds for the next command, on a core of speed 1
   */
  public BoxServer(EventLoop loop, Kind kind, CentralStore store, LongSupplier work)
      throws IOException, InterruptedException {
    this.loop = loop;
    this.kind = kind;
    this.store = store;
    this.work = work;
    this.cores = new WorkQueue(loop, kind.cores(), kind.queue());
    cores.speed(kind.speed());
    this.kept =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > kind.keys();
          }
        };
    this.listener = CacheServer.listen(loop, this::accept);
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Commands that have come. */
  public long commands() {
    return commands;
  }

  /** Connections that it has taken. */
  public long handshakes() {
    return handshakes;
  }

  /** Connections that it has turned down. */
  public long turnedDown() {
    return turnedDown;
  }

  /** Works at this part of its speed from now on. */
  public void slow(double part) {
    this.part = part;
    cores.speed(kind.speed() * part * warmth);
  }

  /** Ends, with all that is under way, and loses its cache. */
  public void end() {
    up = false;
    epoch++;
    cores.reset();
    kept.clear();
    fetches.clear();
    List.copyOf(open).forEach(connection -> connection.channel.close());
  }

  /**
   * Takes connections again, cold.
   *
   * @param from the part of its speed that it has at once
   * @param warmNanos after which it has all of it, rising evenly
   */
  public void start(double from, long warmNanos) {
    up = true;
    warmer(System.nanoTime(), from, warmNanos);
  }

  private void warmer(long startedAt, double from, long warmNanos) {
    long age = System.nanoTime() - startedAt;
    warmth = age >= warmNanos ? 1 : from + (1 - from) * age / warmNanos;
    cores.speed(kind.speed() * part * warmth);
    long now = epoch;
    if (warmth < 1) {
      loop.schedule(
          () -> {
            if (now == epoch) {
              warmer(startedAt, from, warmNanos);
            }
          },
          250,
          TimeUnit.MILLISECONDS);
    }
  }

  /** Ends it for good; may be called from any thread. */
  @Override
  public void close() {
    listener.close();
    if (loop.inEventLoop()) {
      end();
    } else {
      loop.execute(this::end);
    }
  }

  private void accept(Channel channel) {
    Connection connection = new Connection(channel);
    if (!up
        || open.size() >= kind.connections()
        || !cores.take(kind.handshakeNanos(), connection::ready)) {
      turnedDown++;
      channel.close();
      return;
    }
    handshakes++;
    open.add(connection);
    channel.closeFuture().addListener(closed -> open.remove(connection));
    channel.pipeline().addLast(connection);
  }

  /** Carries out a command. */
  private void take(String[] words, Teller answer) {
    commands++;
    String id = MetaCommands.id(words);
    boolean write = words[0].equals("ms");
    String key = words[1];
    Runnable done =
        () -> {
          if (write) {
            kept.remove(key);
            through(true, "HD " + id + " c" + commands, answer);
          } else if (kept.get(key) != null) {
            answer.tell("VA 5 " + id + " h1\r\nvalue");
          } else {
            fetch(key, id, answer);
          }
        };
    if (!cores.take(work.getAsLong(), done)) {
      answer.tell("SERVER_ERROR busy");
    }
  }

  private void fetch(String key, String id, Teller answer) {
    List<Teller> waiting = fetches.get(key);
    if (waiting != null) {
      waiting.add(line -> answer.tell(line == null ? null : "VA 5 " + id + " h0 Z\r\nvalue"));
      return;
    }
    List<Teller> all = new ArrayList<>();
    all.add(line -> answer.tell(line == null ? null : "VA 5 " + id + " h0\r\nvalue"));
    fetches.put(key, all);
    through(
        false,
        "",
        line -> {
          fetches.remove(key);
          if (line != null) {
            kept.put(key, true);
          }
          all.forEach(one -> one.tell(line));
        });
  }

  /** Has the central database do something; tells a line, or null if it had no place for it. */
  private void through(boolean write, String line, Teller answer) {
    long now = epoch;
    store.take(
        write,
        done -> {
          if (now == epoch) {
            answer.tell(done ? line : null);
          }
        });
  }

  private final class Connection extends MetaCommands {
    private final Channel channel;
    private final ArrayDeque<String[]> untilReady = new ArrayDeque<>();

    /** The answers that are owed, in order; each is one line once it is known. */
    private final ArrayDeque<String[]> owed = new ArrayDeque<>();

    private boolean ready;

    Connection(Channel channel) {
      this.channel = channel;
    }

    private void ready() {
      ready = true;
      for (String[] one = untilReady.poll(); one != null; one = untilReady.poll()) {
        answer(one);
      }
    }

    @Override
    void command(ChannelHandlerContext ctx, String[] words) {
      if (ready) {
        answer(words);
      } else {
        untilReady.add(words);
      }
    }

    private void answer(String[] words) {
      String[] place = new String[1];
      owed.add(place);
      if (words[0].equals("mn")) {
        leave(place, "MN");
      } else if (words.length < 3 || !(words[0].equals("mg") || words[0].equals("ms"))) {
        leave(place, "CLIENT_ERROR bad command");
      } else {
        take(words, line -> leave(place, line == null ? "SERVER_ERROR origin" : line));
      }
    }

    private void leave(String[] place, String line) {
      place[0] = line;
      while (!owed.isEmpty() && owed.peek()[0] != null) {
        channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), owed.poll()[0] + "\r\n"));
      }
    }
  }
}
