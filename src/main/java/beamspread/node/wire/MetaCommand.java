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
import java.util.function.IntConsumer;

/**
 * A command from a client. A write keeps its value until the request has ended, for a second
 * attempt; the memory budget limits the total size of these values.
 */
public final class MetaCommand {
  /** Longest key in bytes, as in memcached. */
  private static final int MAX_KEY_BYTES = 250;

  private static final int MAX_ID_BYTES = 64;

  /** Offset of the key in the line, behind the command and a space. */
  private static final int KEY_START = 3;

  /** Bytes dropped from a client whose input was rejected, before reading from it pauses. */
  private static final int MAX_DISCARDED_BYTES = 1 << 18;

  /** Longest accepted deadline in milliseconds: an hour. */
  private static final int MAX_DEADLINE_MILLIS = 3_600_000;

  /** Immediate answer, null for a request that is sent to a cache server. */
  public final String immediateReply;

  /** Whether the next command can't be located any more, so that the connection must close. */
  public final boolean framingLost;

  /** The request; null if the command is invalid. */
  public final Request request;

  private final byte[] line;
  private final int deadlineStart;
  private final int deadlineEnd;
  private final MemoryBudget budget;
  private ByteBuf value;

  private MetaCommand(String immediateReply, boolean framingLost) {
    this(immediateReply, framingLost, null, null, 0, 0, null);
  }

  private MetaCommand(
      String immediateReply,
      boolean framingLost,
      Request request,
      byte[] line,
      int deadlineStart,
      int deadlineEnd,
      MemoryBudget budget) {
    this.immediateReply = immediateReply;
    this.framingLost = framingLost;
    this.request = request;
    this.line = line;
    this.deadlineStart = deadlineStart;
    this.deadlineEnd = deadlineEnd;
    this.budget = budget;
  }

  /**
   * Encodes the command for a cache server: the client's own bytes, except that the deadline is the
   * time for which this node will wait.
   */
  public ByteBuf encode(ByteBufAllocator allocator, long deadlineMillis) {
    byte[] deadline =
        Long.toString(Math.max(1, deadlineMillis)).getBytes(StandardCharsets.US_ASCII);
    ByteBuf head = allocator.buffer(line.length + deadline.length + 2);
    head.writeBytes(line, 0, deadlineStart).writeBytes(deadline);
    head.writeBytes(line, deadlineEnd, line.length - deadlineEnd).writeShort(0x0D0A);
    return value == null
        ? head
        : allocator.compositeBuffer(2).addComponents(true, head, value.retainedDuplicate());
  }

  /** Returns the same read with another key. It replaces this command. */
  public MetaCommand withKey(String key) {
    byte[] bytes = key.getBytes(StandardCharsets.ISO_8859_1);
    int keyEnd = KEY_START + request.key().length();
    int lengthChange = bytes.length - request.key().length();
    byte[] newLine = new byte[line.length + lengthChange];
    System.arraycopy(line, 0, newLine, 0, KEY_START);
    System.arraycopy(bytes, 0, newLine, KEY_START, bytes.length);
    System.arraycopy(line, keyEnd, newLine, keyEnd + lengthChange, line.length - keyEnd);
    return new MetaCommand(
        null,
        false,
        request.withKey(key),
        newLine,
        deadlineStart + lengthChange,
        deadlineEnd + lengthChange,
        budget);
  }

  /**
   * Releases the value, since no further attempt can follow. Attempts being written hold their own
   * reference.
   */
  public void release() {
    if (value != null) {
      budget.release(value.capacity());
      value.release();
      value = null;
    }
  }

  /**
   * Decodes commands from a client's connection, in pieces of any size. Cache servers close a
   * connection on input that they can't parse, which breaks all attempts in flight on it; therefore
   * only the protocol's exact syntax is passed on, and only classes of the settings. New flags must
   * be added here before clients use them.
   */
  public static final class Decoder extends ByteToMessageDecoder {
    private static final MetaCommand NO_OP_REPLY = new MetaCommand("MN", false);
    private static final MetaCommand UNKNOWN_COMMAND_REPLY = new MetaCommand("ERROR", false);

    private final MemoryBudget budget;
    private final Map<String, Settings.ServiceClass> classes = new HashMap<>();

    /**
     * The write whose value is being read, and how many bytes of it, CRLF included, are missing.
     */
    private MetaCommand pendingWrite;

    private int remainingBytes;
    private boolean framingLost;
    private int discardedBytes;
    private boolean holding;
    private long readCount;

    /** Whether the last read filled its buffer, so that the socket may hold more. */
    private boolean mayHaveMore;

    /** Whether a read is being decoded now. */
    private boolean decoding;

    /** Receives the capacity of the buffer for undecoded input after each read. */
    private IntConsumer inputMemoryListener = bytes -> {};

    public Decoder(MemoryBudget budget, List<Settings.ServiceClass> serviceClasses) {
      this.budget = budget;
      serviceClasses.forEach(serviceClass -> classes.put(serviceClass.name(), serviceClass));
    }

    /** Returns whether a command has begun and not ended. */
    public boolean isIncomplete() {
      return !framingLost && (pendingWrite != null || actualReadableBytes() > 0);
    }

    /** Returns how many reads have delivered data. */
    public long readCount() {
      return readCount;
    }

    /** Returns whether the socket may have held more than the last read has taken. */
    public boolean mayHaveMore() {
      return mayHaveMore;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
      readCount++;
      mayHaveMore = bytes instanceof ByteBuf buffer && buffer.isReadable() && !buffer.isWritable();
      boolean outermost = !decoding;
      decoding = true;
      try {
        super.channelRead(ctx, bytes);
      } finally {
        decoding = !outermost;
      }
      if (outermost) {
        inputMemoryListener.accept(internalBuffer().capacity());
      }
    }

    /** Sets what receives the capacity of the buffer for undecoded input after each read. */
    public void setInputMemoryListener(IntConsumer listener) {
      inputMemoryListener = listener;
    }

    /** Returns whether a read is being decoded now, so that it will see a change of this state. */
    public boolean isDecoding() {
      return decoding;
    }

    /**
     * Stops or resumes decoding; meanwhile input is kept. Returns whether any input was kept until
     * now.
     */
    public boolean setHolding(boolean enabled) {
      boolean heldAny = holding && actualReadableBytes() > 0;
      holding = enabled;
      return heldAny;
    }

    /** Returns the number of bytes kept undecoded. */
    public int heldBytes() {
      return holding ? actualReadableBytes() : 0;
    }

    /** Stops decoding for good; further input is dropped. */
    public void discardInput() {
      framingLost = true;
      holding = false;
      releasePendingWrite();
    }

    /** Returns whether more may be dropped; beyond the limit input is left in the socket. */
    public boolean mayDiscard() {
      return discardedBytes < MAX_DISCARDED_BYTES;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
      if (framingLost) {
        discardedBytes = Math.min(MAX_DISCARDED_BYTES, discardedBytes + in.readableBytes());
        in.skipBytes(in.readableBytes());
        return;
      }
      if (holding) {
        return;
      }
      try {
        if (pendingWrite != null) {
          readValue(in, out);
          return;
        }
        MetaLine line = MetaLine.read(in);
        if (line != null) {
          MetaCommand command = parse(ctx.alloc(), line);
          if (pendingWrite == null) {
            out.add(command);
          }
        }
      } catch (MetaLine.MalformedException e) {
        discardInput();
        in.skipBytes(in.readableBytes());
        out.add(new MetaCommand("CLIENT_ERROR " + e.getMessage(), true));
      }
    }

    /**
     * The handler behind this decoder alone decides whether to read on, even if no command was
     * complete.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      discardSomeReadBytes();
      ctx.fireChannelReadComplete();
    }

    private void readValue(ByteBuf in, List<Object> out) throws MetaLine.MalformedException {
      int bytes = Math.min(in.readableBytes(), remainingBytes - 2);
      if (bytes > 0) {
        if (pendingWrite.value != null) {
          pendingWrite.value.writeBytes(in, bytes);
        } else {
          in.skipBytes(bytes);
        }
        remainingBytes -= bytes;
      }
      if (remainingBytes == 2 && in.readableBytes() >= 2) {
        MetaLine.readValueEnd(in);
        MetaCommand completed = pendingWrite;
        pendingWrite = null;
        if (completed.value != null) {
          completed.value.writeShort(0x0D0A);
        }
        out.add(completed);
      }
    }

    private MetaCommand parse(ByteBufAllocator allocator, MetaLine line)
        throws MetaLine.MalformedException {
      line.nextWord();
      if (line.is("mn")) {
        return NO_OP_REPLY;
      }
      boolean isWrite = line.is("ms");
      if (!isWrite && !line.is("mg")) {
        return UNKNOWN_COMMAND_REPLY;
      }
      String error = line.isEvenlySpaced() ? null : "bad spacing";
      String key = null;
      if (line.nextWord() && line.end() - line.start() <= MAX_KEY_BYTES && isVisible(line)) {
        key = line.word(0);
      } else if (error == null) {
        error = "bad key";
      }
      int length = 0;
      if (isWrite) {
        // The length is needed even if the rest is invalid: it locates the next command.
        length = line.nextWord() ? line.parseNumber(line.start(), line.end()) : -1;
        if (length < 0 || length > MetaLine.MAX_VALUE_BYTES) {
          throw new MetaLine.MalformedException("bad data length");
        }
      }
      MetaCommand command = parseFlags(line, key, isWrite, error);
      if (isWrite) {
        if (command.request != null && !budget.reserve(length + 2)) {
          // The memory for writes is used up: the value is read and dropped and the write refused,
          // which is accurate since it was never sent.
          command = new MetaCommand("SERVER_ERROR busy", false, command.request, null, 0, 0, null);
        } else if (command.request != null) {
          command.value = allocator.buffer(length + 2, length + 2);
        }
        pendingWrite = command;
        remainingBytes = length + 2;
      }
      return command;
    }

    private static boolean isVisible(MetaLine line) {
      return line.isVisible(line.start(), line.end());
    }

    private MetaCommand parseFlags(MetaLine line, String key, boolean isWrite, String error) {
      String id = null;
      String idempotencyKey = null;
      boolean wantsValue = false;
      boolean parametersSeen = false;
      int deadlineStart = 0;
      int deadlineEnd = 0;
      int deadlineMillis = -1;
      String serviceClass = null;
      String tenant = null;
      boolean repeat = false;
      double workSeconds = 0;
      double sizeBytes = 0;
      while (line.nextWord()) {
        if (!isVisible(line)) {
          error = "bad flag";
        } else if (line.flag() == 'O' && id == null) {
          id = line.end() - line.start() - 1 <= MAX_ID_BYTES ? line.word(1) : "";
        } else if (line.is("v") && !isWrite) {
          wantsValue = true;
        } else if (line.flag() != 'P' || parametersSeen) {
          error = "bad flag";
        } else {
          parametersSeen = true;
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
              error = "bad parameter";
            }
            switch (line.text(from, equals)) {
              case "c" -> serviceClass = line.text(start, to);
              case "t" -> tenant = line.text(start, to);
              case "k" -> idempotencyKey = line.text(start, to);
              case "d" -> {
                error = deadlineEnd > 0 ? "two deadlines" : error;
                deadlineStart = start;
                deadlineEnd = to;
                deadlineMillis = line.parseNumber(start, to);
              }
              case "r" -> repeat = line.parseNumber(start, to) == 1;
              case "h" -> workSeconds = Math.max(0, line.parseNumber(start, to)) / 1e6;
              case "size" -> sizeBytes = Math.max(0, line.parseNumber(start, to));
              default -> {
                // Passed on to the cache server unchanged.
              }
            }
            from = to + 1;
          }
        }
      }
      Settings.ServiceClass classSettings = classes.get(serviceClass);
      if (error == null && (id == null || id.isEmpty())) {
        error = "bad or missing id";
      } else if (error == null && classSettings == null) {
        error = "unknown or missing class";
      } else if (error == null && (deadlineMillis <= 0 || deadlineMillis > MAX_DEADLINE_MILLIS)) {
        error = "bad or missing deadline";
      } else if (error == null && !isWrite && !wantsValue) {
        error = "a read asks for no value";
      } else if (error == null
          && isWrite
          && idempotencyKey == null
          && classSettings.effect() == Settings.Effect.KEYED) {
        error = "a keyed write without its key";
      }
      if (error != null) {
        return new MetaCommand("CLIENT_ERROR " + error, false);
      }
      Request request =
          new Request(
              id,
              key,
              serviceClass,
              tenant,
              deadlineMillis / 1e3,
              workSeconds,
              sizeBytes,
              repeat,
              isWrite);
      return new MetaCommand(null, false, request, line.bytes, deadlineStart, deadlineEnd, budget);
    }

    private void releasePendingWrite() {
      if (pendingWrite != null) {
        pendingWrite.release();
        pendingWrite = null;
      }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
      releasePendingWrite();
    }
  }
}
