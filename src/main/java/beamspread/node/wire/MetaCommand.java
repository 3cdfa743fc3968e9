package beamspread.node.wire;

import beamspread.model.Request;
import beamspread.model.Settings;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A command as a client sent it. A write keeps its value until the request has ended, for a second
 * attempt; the budget bounds what all of them keep.
 */
public final class MetaCommand {
  /** Longest key, as in memcached. */
  private static final int MAX_KEY = 250;

  private static final int MAX_ID = 64;

  /** Where the key begins in the line, behind the command and a space. */
  private static final int KEY_START = 3;

  /** Bytes dropped from a client that was turned away, before its sending is held up. */
  private static final int MAX_DISCARDED = 1 << 18;

  /** Longest deadline in milliseconds that is believed: an hour. */
  private static final int MAX_DEADLINE = 3_600_000;

  /** What to answer at once, null for a request that goes to a cache server. */
  public final String reply;

  /** Whether the client's bytes can no longer be told apart, so that its connection must close. */
  public final boolean lost;

  /** The request; null where the command makes no sense. */
  public final Request request;

  private final byte[] line;
  private final int deadlineStart;
  private final int deadlineEnd;
  private final MemoryBudget budget;
  private ByteBuf value;

  private MetaCommand(String reply, boolean lost) {
    this(reply, lost, null, null, 0, 0, null);
  }

  private MetaCommand(
      String reply,
      boolean lost,
      Request request,
      byte[] line,
      int deadlineStart,
      int deadlineEnd,
      MemoryBudget budget) {
    this.reply = reply;
    this.lost = lost;
    this.request = request;
    this.line = line;
    this.deadlineStart = deadlineStart;
    this.deadlineEnd = deadlineEnd;
    this.budget = budget;
  }

  /**
   * The bytes for a cache server: the client's own, but for the deadline, which tells how long this
   * node will wait.
   */
  public ByteBuf encode(ByteBufAllocator allocator, long millis) {
    byte[] deadline = Long.toString(Math.max(1, millis)).getBytes(StandardCharsets.US_ASCII);
    ByteBuf head = allocator.buffer(line.length + deadline.length + 2);
    head.writeBytes(line, 0, deadlineStart).writeBytes(deadline);
    head.writeBytes(line, deadlineEnd, line.length - deadlineEnd).writeShort(0x0D0A);
    return value == null
        ? head
        : allocator.compositeBuffer(2).addComponents(true, head, value.retainedDuplicate());
  }

  /**
   * The same read of another key: the client's own line but for that. It takes this one's place.
   */
  public MetaCommand about(String key) {
    byte[] bytes = key.getBytes(StandardCharsets.ISO_8859_1);
    int end = KEY_START + request.key().length();
    int longer = bytes.length - request.key().length();
    byte[] other = new byte[line.length + longer];
    System.arraycopy(line, 0, other, 0, KEY_START);
    System.arraycopy(bytes, 0, other, KEY_START, bytes.length);
    System.arraycopy(line, end, other, end + longer, line.length - end);
    return new MetaCommand(
        null,
        false,
        request.withKey(key),
        other,
        deadlineStart + longer,
        deadlineEnd + longer,
        budget);
  }

  /** Lets the value go: no further attempt can follow. Those being written keep their own hold. */
  public void release() {
    if (value != null) {
      budget.release(value.capacity());
      value.release();
      value = null;
    }
  }

  /**
   * Reads commands off a client's connection, however its bytes are cut. Guards the cache servers
   * against what they cannot read: they close a connection on it, with all that others wait for
   * there. So only the protocol's own form goes on, and classes that the settings name. It could do
   * harm where clients are given new flags: this reader must learn them first.
   */
  public static final class Decoder extends ByteToMessageDecoder {
    private static final MetaCommand HELLO = new MetaCommand("MN", false);
    private static final MetaCommand UNKNOWN = new MetaCommand("ERROR", false);

    private final MemoryBudget budget;
    private final Map<String, Settings.ServiceClass> classes = new HashMap<>();

    /** The write whose value is being read, and how many bytes with its CRLF are still to come. */
    private MetaCommand write;

    private int missing;
    private boolean lost;
    private int discarded;
    private boolean holding;
    private long pieces;

    public Decoder(MemoryBudget budget, List<Settings.ServiceClass> services) {
      this.budget = budget;
      services.forEach(service -> classes.put(service.name(), service));
    }

    /** Whether a command has begun and not ended. */
    public boolean midway() {
      return !lost && (write != null || actualReadableBytes() > 0);
    }

    /** Pieces of bytes that have come. */
    public long pieces() {
      return pieces;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
      pieces++;
      super.channelRead(ctx, bytes);
    }

    /** Keeps what comes as it is, or reads on; whether it kept anything back until now. */
    public boolean hold(boolean on) {
      boolean kept = holding && actualReadableBytes() > 0;
      holding = on;
      return kept;
    }

    /** Bytes that are kept back. */
    public int held() {
      return holding ? actualReadableBytes() : 0;
    }

    /** Reads no more commands: what comes is dropped. */
    public void giveUp() {
      lost = true;
      holding = false;
      dropWrite();
    }

    /** Whether more may be dropped: a flood is better left in the socket. */
    public boolean mayDiscard() {
      return discarded < MAX_DISCARDED;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
      if (lost) {
        discarded = Math.min(MAX_DISCARDED, discarded + in.readableBytes());
        in.skipBytes(in.readableBytes());
        return;
      }
      if (holding) {
        return;
      }
      try {
        if (write != null) {
          readValue(in, out);
          return;
        }
        MetaLine line = MetaLine.read(in);
        if (line != null) {
          MetaCommand command = parse(ctx.alloc(), line);
          if (write == null) {
            out.add(command);
          }
        }
      } catch (MetaLine.MalformedException e) {
        giveUp();
        in.skipBytes(in.readableBytes());
        out.add(new MetaCommand("CLIENT_ERROR " + e.getMessage(), true));
      }
    }

    /** Whether more is read is decided behind this reader alone, also where nothing was whole. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      discardSomeReadBytes();
      ctx.fireChannelReadComplete();
    }

    private void readValue(ByteBuf in, List<Object> out) throws MetaLine.MalformedException {
      int bytes = Math.min(in.readableBytes(), missing - 2);
      if (bytes > 0) {
        if (write.value != null) {
          write.value.writeBytes(in, bytes);
        } else {
          in.skipBytes(bytes);
        }
        missing -= bytes;
      }
      if (missing == 2 && in.readableBytes() >= 2) {
        MetaLine.readEnd(in);
        MetaCommand whole = write;
        write = null;
        if (whole.value != null) {
          whole.value.writeShort(0x0D0A);
        }
        out.add(whole);
      }
    }

    private MetaCommand parse(ByteBufAllocator allocator, MetaLine line)
        throws MetaLine.MalformedException {
      line.next();
      if (line.is("mn")) {
        return HELLO;
      }
      boolean sets = line.is("ms");
      if (!sets && !line.is("mg")) {
        return UNKNOWN;
      }
      String wrong = line.isEvenlySpaced() ? null : "bad spacing";
      String key = null;
      if (line.next() && line.end() - line.start() <= MAX_KEY && visible(line)) {
        key = line.word(0);
      } else if (wrong == null) {
        wrong = "bad key";
      }
      int length = 0;
      if (sets) {
        // The length is needed even where all else is wrong: it tells where the next command is.
        length = line.next() ? line.number(line.start(), line.end()) : -1;
        if (length < 0 || length > MetaLine.MAX_VALUE) {
          throw new MetaLine.MalformedException("bad data length");
        }
      }
      MetaCommand command = flags(line, key, sets, wrong);
      if (sets) {
        if (command.request != null && !budget.reserve(length + 2)) {
          // Guards against more writes at once than there is memory for: this one is read and
          // dropped, and refused, which is true since it has never gone out.
          command = new MetaCommand("SERVER_ERROR busy", false, command.request, null, 0, 0, null);
        } else if (command.request != null) {
          command.value = allocator.buffer(length + 2, length + 2);
        }
        write = command;
        missing = length + 2;
      }
      return command;
    }

    private static boolean visible(MetaLine line) {
      return line.visible(line.start(), line.end());
    }

    private MetaCommand flags(MetaLine line, String key, boolean sets, String wrong) {
      String id = null;
      String idempotencyKey = null;
      boolean value = false;
      boolean parameters = false;
      int deadlineStart = 0;
      int deadlineEnd = 0;
      int deadline = -1;
      String serviceClass = null;
      String tenant = null;
      boolean repeat = false;
      double work = 0;
      double size = 0;
      while (line.next()) {
        if (!visible(line)) {
          wrong = "bad flag";
        } else if (line.flag() == 'O' && id == null) {
          id = line.end() - line.start() - 1 <= MAX_ID ? line.word(1) : "";
        } else if (line.is("v") && !sets) {
          value = true;
        } else if (line.flag() != 'P' || parameters) {
          wrong = "bad flag";
        } else {
          parameters = true;
          int from = line.start() + 1;
          while (from < line.end()) {
            int to = from;
            while (to < line.end() && line.bytes[to] != ',') {
              to++;
            }
            int equals = from;
            while (equals < to && line.bytes[equals] != '=') {
              equals++;
            }
            int start = Math.min(equals + 1, to);
            if (equals == from || start == to) {
              wrong = "bad parameter";
            }
            switch (line.text(from, equals)) {
              case "c" -> serviceClass = line.text(start, to);
              case "t" -> tenant = line.text(start, to);
              case "k" -> idempotencyKey = line.text(start, to);
              case "d" -> {
                wrong = deadlineEnd > 0 ? "two deadlines" : wrong;
                deadlineStart = start;
                deadlineEnd = to;
                deadline = line.number(start, to);
              }
              case "r" -> repeat = line.number(start, to) == 1;
              case "h" -> work = Math.max(0, line.number(start, to)) / 1e6;
              case "size" -> size = Math.max(0, line.number(start, to));
              default -> {
                // Meant for the cache server, which gets all of them as they are.
              }
            }
            from = to + 1;
          }
        }
      }
      Settings.ServiceClass type = classes.get(serviceClass);
      if (wrong == null && (id == null || id.isEmpty())) {
        wrong = "bad or missing id";
      } else if (wrong == null && type == null) {
        wrong = "unknown or missing class";
      } else if (wrong == null && (deadline <= 0 || deadline > MAX_DEADLINE)) {
        wrong = "bad or missing deadline";
      } else if (wrong == null && !sets && !value) {
        wrong = "a read asks for no value";
      } else if (wrong == null
          && sets
          && idempotencyKey == null
          && type.effect() == Settings.Effect.KEYED) {
        wrong = "a keyed write without its key";
      }
      if (wrong != null) {
        return new MetaCommand("CLIENT_ERROR " + wrong, false);
      }
      Request request =
          new Request(id, key, serviceClass, tenant, deadline / 1e3, work, size, repeat, sets);
      return new MetaCommand(null, false, request, line.bytes, deadlineStart, deadlineEnd, budget);
    }

    private void dropWrite() {
      if (write != null) {
        write.release();
        write = null;
      }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
      dropWrite();
    }
  }
}
