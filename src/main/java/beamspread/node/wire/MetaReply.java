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
 * @param result the outcome that it stands for
 * @param id the request's id as the server repeats it, null where an error line has none
 * @param receipt a write's receipt, null for another reply
 * @param value the value with its CRLF; null where there is none
 * @param following bytes of a value that follows as {@link ValuePart}s, 0 for none
 * @param note what it says of the server's cache
 * @param load the server's load report, null if none came along
 */
public record MetaReply(
    Outcome.Result result,
    String id,
    String receipt,
    ByteBuf value,
    int following,
    Outcome.Note note,
    LoadReport load) {

  /** Whether it can be the answer to this command: a value for a read, a receipt for a write. */
  public boolean answers(MetaCommand command) {
    return result != Outcome.Result.OK
        ? id == null || id.equals(command.request.id())
        : id.equals(command.request.id())
            && (command.request.write() ? receipt != null : value != null || following > 0);
  }

  /** The answer to the client that this good reply stands for. */
  public ByteBuf clientAnswer(ByteBufAllocator allocator) {
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

  /** Lets the value go. */
  public void release() {
    if (value != null) {
      value.release();
    }
  }

  /**
   * Reads replies off a cache server's connection: a {@link MetaReply} for each, and behind one
   * whose value is too large to be held the {@link ValuePart}s of it as they come.
   */
  public static final class Decoder extends ByteToMessageDecoder {
    /**
     * How much of a large value must be here before its head is believed. Guards against passing on
     * a length that is wrong, which can't be taken back; a server writes so much in one go.
     */
    private static final int FIRST = 4096;

    /** The reply whose value is being read, and the value's length. */
    private MetaReply head;

    private int length;

    /** Bytes of a large value that are still to come, -1 while none does. */
    private int missing = -1;

    private boolean lost;
    private long reads;

    /** Whether a reply has begun and not ended. */
    public boolean midway() {
      return head != null || missing >= 0 || actualReadableBytes() > 0;
    }

    /** How often something was read. */
    public long reads() {
      return reads;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
      reads++;
      super.channelRead(ctx, message);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
      if (lost) {
        in.skipBytes(in.readableBytes());
        return;
      }
      try {
        if (missing >= 0) {
          part(ctx, in, out);
          return;
        }
        if (head == null) {
          MetaLine line = MetaLine.read(in);
          if (line == null) {
            return;
          }
          head = parse(line);
        }
        if (length < 0) {
          out.add(head);
          head = null;
        } else if (head.following > 0) {
          if (in.readableBytes() >= FIRST) {
            missing = head.following;
            out.add(head);
            head = null;
            part(ctx, in, out);
          }
        } else if (in.readableBytes() >= length + 2) {
          int end = in.readerIndex() + length;
          if (in.getByte(end) != '\r' || in.getByte(end + 1) != '\n') {
            throw new MetaLine.MalformedException("bad data chunk");
          }
          ByteBuf value = in.readRetainedSlice(length + 2);
          out.add(new MetaReply(head.result, head.id, null, value, 0, head.note, head.load));
          head = null;
        }
      } catch (MetaLine.MalformedException e) {
        lost = true;
        head = null;
        missing = -1;
        throw new DecoderException(e);
      }
    }

    /** Takes what has come of a large value, or its end. */
    private void part(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
        throws MetaLine.MalformedException {
      int size = Math.min(in.readableBytes(), missing);
      if (size > 0) {
        // A small part would keep the whole buffer that it was read into.
        boolean copy = size < in.capacity() / 2;
        ByteBuf bytes =
            copy ? ctx.alloc().buffer(size).writeBytes(in, size) : in.readRetainedSlice(size);
        missing -= size;
        out.add(new ValuePart(bytes, false));
      } else if (missing == 0 && in.readableBytes() >= 2) {
        MetaLine.readEnd(in);
        missing = -1;
        out.add(new ValuePart(Unpooled.EMPTY_BUFFER, true));
      }
    }

    private MetaReply parse(MetaLine line) throws MetaLine.MalformedException {
      line.next();
      Outcome.Result result = Outcome.Result.OK;
      length = -1;
      boolean stored = line.is("HD");
      if (line.is("VA")) {
        length = line.next() ? line.number(line.start(), line.end()) : -1;
        if (length < 0 || length > MetaLine.MAX_PASSED) {
          throw new MetaLine.MalformedException("bad data length");
        }
      } else if (line.is("SERVER_ERROR")) {
        result = line.next() && line.is("busy") ? Outcome.Result.FULL : Outcome.Result.ERROR;
      } else if (line.is("CLIENT_ERROR") || line.is("ERROR")) {
        result = Outcome.Result.ERROR;
      } else if (!stored) {
        throw new MetaLine.MalformedException("unknown reply");
      }
      String id = null;
      String receipt = null;
      Outcome.Note note = Outcome.Note.NONE;
      LoadReport load = null;
      // A load report ends the line: one that cannot be read must not be taken for flags.
      while (load == null && line.next()) {
        switch (line.flag()) {
          case 'O' -> id = id == null ? line.word(1) : id;
          case 'c' -> receipt = line.word(1);
          case 'h' -> note = line.is("h1") ? Outcome.Note.HIT : Outcome.Note.MISS;
          case 'Z' -> note = Outcome.Note.MISS_PENDING;
          case 'L' -> load = load(line.word(1));
          default -> {
            // Nothing that this node knows the use of.
          }
        }
      }
      if (result == Outcome.Result.OK && (id == null || (stored && receipt == null))) {
        throw new MetaLine.MalformedException("reply without an id or receipt");
      }
      int following = length > MetaLine.MAX_VALUE ? length : 0;
      return new MetaReply(result, id, receipt, null, following, note, load);
    }

    private static LoadReport load(String text) {
      double[] values = new double[8];
      Arrays.fill(values, Double.NaN);
      for (String pair : text.split(",")) {
        int equals = pair.indexOf('=');
        int place =
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
        if (place >= 0) {
          try {
            double value = Double.parseDouble(pair.substring(equals + 1));
            values[place] = value >= 0 && value < 1e12 ? value : Double.NaN;
          } catch (NumberFormatException e) {
            // A figure that cannot be read is one that was not reported.
          }
        }
      }
      return new LoadReport(
          values[0], values[1], values[2], values[3], values[4], values[5], values[6], values[7]);
    }
  }
}
