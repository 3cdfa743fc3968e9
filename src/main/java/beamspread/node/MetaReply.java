package beamspread.node;

import beamspread.model.LoadReport;
import beamspread.model.Outcome;
import io.netty.buffer.ByteBuf;
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
 * @param length the value's length, -1 where the reply has no value
 * @param value the value with its CRLF; null where there is none, or where it follows in pieces
 * @param note what it says of the server's cache
 * @param load the server's load report, null if none came along
 */
record MetaReply(
    Outcome.Result result,
    String id,
    String receipt,
    int length,
    ByteBuf value,
    Outcome.Note note,
    LoadReport load) {

  /** Longest value that is gathered whole; a longer one is passed on as it comes. */
  static final int MAX_GATHERED = 1 << 16;

  /** Whether the value follows in pieces. */
  boolean streamed() {
    return length > MAX_GATHERED;
  }

  /** Reads replies off a cache server's connection; a long value follows its reply in pieces. */
  static final class Decoder extends ByteToMessageDecoder {
    private MetaReply head;

    /** Bytes of a long value and its CRLF that are still to come. */
    private int missing;

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
      try {
        if (missing > 0) {
          readPiece(in, out);
          return;
        }
        if (head == null) {
          MetaLine line = MetaLine.read(in);
          if (line == null) {
            return;
          }
          head = parse(line);
          if (head.streamed()) {
            missing = head.length + 2;
          }
        }
        if (head.length < 0 || head.streamed()) {
          out.add(head);
          head = null;
        } else if (in.readableBytes() >= head.length + 2) {
          int end = in.readerIndex() + head.length;
          if (in.getByte(end) != '\r' || in.getByte(end + 1) != '\n') {
            throw new MetaLine.MalformedException("bad data chunk");
          }
          out.add(
              new MetaReply(
                  head.result,
                  head.id,
                  null,
                  head.length,
                  in.readRetainedSlice(head.length + 2),
                  head.note,
                  head.load));
          head = null;
        }
      } catch (MetaLine.MalformedException e) {
        throw new DecoderException(e);
      }
    }

    private void readPiece(ByteBuf in, List<Object> out) throws MetaLine.MalformedException {
      // The CRLF is read as a whole, lest a value be called whole before its end was checked.
      if (missing > 2) {
        int bytes = Math.min(in.readableBytes(), missing - 2);
        missing -= bytes;
        out.add(in.readRetainedSlice(bytes));
      } else if (in.readableBytes() >= 2) {
        int start = in.readerIndex();
        MetaLine.readEnd(in);
        missing = 0;
        out.add(in.retainedSlice(start, 2));
      }
    }

    private static MetaReply parse(MetaLine line) throws MetaLine.MalformedException {
      line.next();
      Outcome.Result result = Outcome.Result.OK;
      int length = -1;
      if (line.is("VA")) {
        length = line.next() ? line.number(line.start(), line.end()) : -1;
        if (length < 0 || length > MetaLine.MAX_VALUE) {
          throw new MetaLine.MalformedException("bad data length");
        }
      } else if (line.is("SERVER_ERROR")) {
        result = line.next() && line.is("busy") ? Outcome.Result.FULL : Outcome.Result.ERROR;
      } else if (!line.is("HD")) {
        throw new MetaLine.MalformedException("unknown reply");
      }
      String id = null;
      String receipt = null;
      Outcome.Note note = Outcome.Note.NONE;
      LoadReport load = null;
      while (line.next()) {
        switch (line.flag()) {
          case 'O' -> id = line.word(1);
          case 'c' -> receipt = line.word(1);
          case 'h' -> note = line.is("h1") ? Outcome.Note.HIT : Outcome.Note.MISS;
          case 'Z' -> note = Outcome.Note.MISS_PENDING;
          case 'L' -> load = load(line.word(1));
          default -> {
            // Nothing that this node knows the use of.
          }
        }
      }
      if (result == Outcome.Result.OK && id == null) {
        throw new MetaLine.MalformedException("reply without an id");
      }
      return new MetaReply(result, id, receipt, length, null, note, load);
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
            values[place] = Double.parseDouble(pair.substring(equals + 1));
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
