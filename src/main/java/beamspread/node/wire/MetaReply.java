package beamspread.node.wire;

import beamspread.model.LoadReport;
import beamspread.model.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.DecoderException;
import java.util.Arrays;
import java.util.List;

/**
 * A cache server's reply.
 *
 * @param result the outcome that it means for the attempt
 * @param id the request's id as the server repeats it, null where an error line has none
 * @param receipt a write's receipt, null for another reply
 * @param value the value with its CRLF; null if there is none
 * @param followingBytes length in bytes of a value that follows as {@link ValuePart}s, 0 for none
 * @param note whether the server's cache had the value
 * @param loadReport the server's load report, null if there is none
 */
public record MetaReply(
    Outcome.Result result,
    String id,
    String receipt,
    ByteBuf value,
    int followingBytes,
    Outcome.Note note,
    LoadReport loadReport) {

  /**
   * Returns whether this reply with the id of a command can be its answer: a value for a read, a
   * receipt for a write, or an error.
   */
  public boolean fits(MetaCommand command) {
    return result != Outcome.Result.OK
        || (command.request.write() ? receipt != null : value != null || followingBytes > 0);
  }

  /** Encodes this successful reply for the client. */
  public ByteBuf encodeForClient(ByteBufAllocator allocator) {
    int size = value == null ? 0 : value.readableBytes();
    ByteBuf bytes = allocator.buffer(id.length() + 48 + size);
    if (value == null) {
      ByteBufUtil.writeAscii(bytes, "HD O");
      ByteBufUtil.writeAscii(bytes, id);
      ByteBufUtil.writeAscii(bytes, " c");
      ByteBufUtil.writeAscii(bytes, receipt);
    } else {
      ByteBufUtil.writeAscii(bytes, "VA ");
      ByteBufUtil.writeAscii(bytes, Integer.toString(size - 2));
      ByteBufUtil.writeAscii(bytes, " O");
      ByteBufUtil.writeAscii(bytes, id);
    }
    bytes.writeShort(0x0D0A);
    return size > 0 ? bytes.writeBytes(value, value.readerIndex(), size) : bytes;
  }

  /** Releases the value. */
  public void release() {
    if (value != null) {
      value.release();
    }
  }

  /**
   * Decodes replies from a cache server's connection: a {@link MetaReply} for each, followed by
   * {@link ValuePart}s as they arrive if its value is too large to be held; a {@link NoOpReply} for
   * the reply to a no-op.
   */
  public static final class Decoder extends ByteToMessageDecoder {
    /**
     * How many bytes of a large value must have arrived before its head is passed on. A wrong
     * length can't be corrected once it is passed on; a server writes this many bytes at once.
     */
    private static final int MIN_STREAMED_BYTES = 4096;

    /** The reply whose value is being read, and the value's length. */
    private MetaReply head;

    private int valueLength;

    /** Bytes of a large value that are still missing, -1 if none is being read. */
    private int remainingBytes = -1;

    private boolean framingLost;
    private long readCount;

    /** Returns whether a reply has begun and not ended. */
    public boolean isIncomplete() {
      return head != null || remainingBytes >= 0 || actualReadableBytes() > 0;
    }

    /** Returns how many reads have delivered data. */
    public long readCount() {
      return readCount;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
      readCount++;
      super.channelRead(ctx, message);
    }

    /**
     * Returns the request id of a large value whose head is held until more of it arrives; null if
     * there is none.
     */
    public String heldHeadId() {
      return head != null && head.followingBytes > 0 ? head.id : null;
    }

    /** Passes on the held head, and what has arrived behind it. */
    public void passHeldHead(ChannelHandlerContext ctx) throws Exception {
      MetaReply passed = head;
      head = null;
      remainingBytes = passed.followingBytes;
      ctx.fireChannelRead(passed);
      if (actualReadableBytes() > 0) {
        super.channelRead(ctx, Unpooled.EMPTY_BUFFER);
      }
      ctx.fireChannelReadComplete();
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
      if (framingLost) {
        in.skipBytes(in.readableBytes());
        return;
      }
      try {
        if (remainingBytes >= 0) {
          readPart(ctx, in, out);
          return;
        }
        if (head == null) {
          MetaLine line = MetaLine.read(in);
          if (line == null) {
            return;
          }
          line.nextWord();
          if (line.is("MN")) {
            out.add(NoOpReply.INSTANCE);
            return;
          }
          head = parse(line);
        }
        if (valueLength < 0) {
          out.add(head);
          head = null;
        } else if (head.followingBytes > 0) {
          if (in.readableBytes() >= MIN_STREAMED_BYTES) {
            remainingBytes = head.followingBytes;
            out.add(head);
            head = null;
            readPart(ctx, in, out);
          }
        } else if (in.readableBytes() >= valueLength + 2) {
          int end = in.readerIndex() + valueLength;
          if (in.getByte(end) != '\r' || in.getByte(end + 1) != '\n') {
            throw new MetaLine.MalformedException("bad data chunk");
          }
          ByteBuf value = in.readRetainedSlice(valueLength + 2);
          out.add(new MetaReply(head.result, head.id, null, value, 0, head.note, head.loadReport));
          head = null;
        }
      } catch (MetaLine.MalformedException e) {
        framingLost = true;
        head = null;
        remainingBytes = -1;
        throw new DecoderException(e);
      }
    }

    /** Reads the available part of a large value, or its end. */
    private void readPart(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
        throws MetaLine.MalformedException {
      int size = Math.min(in.readableBytes(), remainingBytes);
      if (size > 0) {
        // A slice would keep the whole buffer that it was read into, so a small part is copied.
        boolean copy = size < in.capacity() / 2;
        ByteBuf bytes =
            copy ? ctx.alloc().buffer(size).writeBytes(in, size) : in.readRetainedSlice(size);
        remainingBytes -= size;
        out.add(new ValuePart(bytes, false));
      } else if (remainingBytes == 0 && in.readableBytes() >= 2) {
        MetaLine.readValueEnd(in);
        remainingBytes = -1;
        out.add(new ValuePart(Unpooled.EMPTY_BUFFER, true));
      }
    }

    /** Parses a line whose first word is the current one. */
    private MetaReply parse(MetaLine line) throws MetaLine.MalformedException {
      Outcome.Result result = Outcome.Result.OK;
      valueLength = -1;
      boolean stored = line.is("HD");
      if (line.is("VA")) {
        valueLength = line.nextWord() ? line.parseNumber(line.start(), line.end()) : -1;
        if (valueLength < 0 || valueLength > MetaLine.MAX_STREAMED_VALUE_BYTES) {
          throw new MetaLine.MalformedException("bad data length");
        }
      } else if (line.is("SERVER_ERROR")) {
        result = line.nextWord() && line.is("busy") ? Outcome.Result.FULL : Outcome.Result.ERROR;
      } else if (line.is("CLIENT_ERROR") || line.is("ERROR")) {
        result = Outcome.Result.ERROR;
      } else if (!stored) {
        throw new MetaLine.MalformedException("unknown reply");
      }
      String id = null;
      String receipt = null;
      Outcome.Note note = Outcome.Note.NONE;
      LoadReport loadReport = null;
      // A load report ends the line, so an unreadable one is not parsed as flags.
      while (loadReport == null && line.nextWord()) {
        switch (line.flag()) {
          case 'O' -> id = id == null ? line.word(1) : id;
          case 'c' -> receipt = line.word(1);
          case 'h' -> note = line.is("h1") ? Outcome.Note.HIT : Outcome.Note.MISS;
          case 'Z' -> note = Outcome.Note.MISS_PENDING;
          case 'L' -> loadReport = parseLoadReport(line.word(1));
          default -> {
            // Flag without a meaning for this node.
          }
        }
      }
      if (result == Outcome.Result.OK && (id == null || (stored && receipt == null))) {
        throw new MetaLine.MalformedException("reply without an id or receipt");
      }
      int followingBytes = valueLength > MetaLine.MAX_VALUE_BYTES ? valueLength : 0;
      return new MetaReply(result, id, receipt, null, followingBytes, note, loadReport);
    }

    private static LoadReport parseLoadReport(String text) {
      double[] values = new double[8];
      Arrays.fill(values, Double.NaN);
      for (String pair : text.split(",")) {
        int equals = pair.indexOf('=');
        int index =
            switch (pair.substring(0, Math.max(0, equals))) {
              case "inflight", "active" -> 0;
              case "queue", "waiting" -> 1;
              case "util", "cpu" -> 2;
              case "latency_ms", "avg_ms" -> 3;
              case "qps", "rps" -> 4;
              case "eps", "err_rps" -> 5;
              case "x0" -> 6;
              case "x1" -> 7;
              default -> -1;
            };
        if (index >= 0) {
          try {
            double value = Double.parseDouble(pair.substring(equals + 1));
            values[index] = value >= 0 && value < 1e12 ? value : Double.NaN;
          } catch (NumberFormatException e) {
            // An unreadable figure counts as not reported.
          }
        }
      }
      return new LoadReport(
          values[0], values[1], values[2], values[3], values[4], values[5], values[6], values[7]);
    }
  }
}
