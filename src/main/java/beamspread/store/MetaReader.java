package beamspread.store;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Cuts a connection into the meta commands that cache servers send to their origin. Strict: where a
 * line can't be read the connection's bytes can't be told apart any more, and it is closed behind
 * one last line. All lengths are bounded before anything is kept for them.
 */
final class MetaReader extends ByteToMessageDecoder {
  static final int LONGEST_LINE = 2048;
  static final int LONGEST_KEY = 250;
  static final int LARGEST_VALUE = 64 << 10;

  /** How long a command without a deadline is waited for. */
  private static final long USUAL_MILLIS = 1000;

  private static final long LONGEST_MILLIS = 3_600_000;

  /**
   * A command.
   *
   * @param wrong what is wrong with it, null for nothing
   * @param lost whether nothing behind it can be read
   * @param opaque the word by which its answer is told apart, after a space; empty for none
   * @param id what tells a write from all others: its idempotency key, else its own id
   */
  record Command(
      String wrong,
      boolean lost,
      boolean write,
      String key,
      byte[] value,
      String opaque,
      String id,
      boolean repeat,
      long millis) {}

  private boolean lost;

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    if (lost) {
      in.skipBytes(in.readableBytes());
      return;
    }
    int length = in.bytesBefore((byte) '\n');
    if (length < 0 ? in.readableBytes() > LONGEST_LINE : length > LONGEST_LINE) {
      giveUp(in, out, "line too long");
      return;
    }
    if (length < 0) {
      return;
    }
    String line = in.toString(in.readerIndex(), length, StandardCharsets.ISO_8859_1);
    String[] words = line.strip().split(" +");
    boolean write = words[0].equals("ms");
    if (!write && !words[0].equals("mg")) {
      in.skipBytes(length + 1);
      out.add(fault("unknown command", false));
      return;
    }
    int size = 0;
    if (write) {
      size = words.length > 2 ? number(words[2]) : -1;
      if (size < 0 || size > LARGEST_VALUE) {
        giveUp(in, out, "bad data length");
        return;
      }
      if (in.readableBytes() < length + 1 + size + 2) {
        return;
      }
    }
    in.skipBytes(length + 1);
    byte[] value = new byte[size];
    if (write) {
      in.readBytes(value);
      if (in.readByte() != '\r' || in.readByte() != '\n') {
        giveUp(in, out, "bad data chunk");
        return;
      }
    }
    out.add(parse(words, write, value));
  }

  private void giveUp(ByteBuf in, List<Object> out, String why) {
    lost = true;
    in.skipBytes(in.readableBytes());
    out.add(fault(why, true));
  }

  private static Command fault(String why, boolean lost) {
    return new Command(why, lost, false, "", null, "", "", false, 0);
  }

  private static int number(String word) {
    return word.matches("[0-9]{1,7}") ? Integer.parseInt(word) : -1;
  }

  private static Command parse(String[] words, boolean write, byte[] value) {
    String key = words.length > 1 ? words[1] : "";
    if (key.isEmpty() || key.length() > LONGEST_KEY) {
      return fault("bad key", false);
    }
    String opaque = "";
    String id = "";
    boolean repeat = false;
    long millis = USUAL_MILLIS;
    for (int i = write ? 3 : 2; i < words.length; i++) {
      if (words[i].startsWith("O")) {
        opaque = words[i];
      } else if (words[i].startsWith("P")) {
        for (String parameter : words[i].substring(1).split(",")) {
          int equals = parameter.indexOf('=');
          String name = equals < 0 ? parameter : parameter.substring(0, equals);
          String text = parameter.substring(equals + 1);
          switch (name) {
            case "k" -> id = text;
            case "r" -> repeat = text.equals("1");
            case "d" -> millis = number(text);
            default -> {
              // Meant for others.
            }
          }
        }
      }
    }
    if (millis <= 0 || millis > LONGEST_MILLIS) {
      return fault("bad deadline", false);
    }
    id = id.isEmpty() ? opaque : "k" + id;
    if (write && id.isEmpty()) {
      return fault("a write needs an id", false);
    }
    String told = opaque.isEmpty() ? "" : " " + opaque;
    return new Command(null, false, write, key, value, told, id, repeat, millis);
  }
}
