package beamspread.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Cuts a connection into meta commands; values that are written are passed over. */
abstract class MetaCommands extends ByteToMessageDecoder {
  private static final int LONGEST_LINE = 2048;

  /** One command, as its words. */
  abstract void command(ChannelHandlerContext ctx, String[] words);

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    int length = in.bytesBefore((byte) '\n');
    if (length < 0) {
      if (in.readableBytes() > LONGEST_LINE) {
        ctx.close();
      }
      return;
    }
    String[] words =
        in.toString(in.readerIndex(), length, StandardCharsets.ISO_8859_1).strip().split(" ");
    int size = 0;
    if (words[0].equals("ms") && words.length > 2 && words[2].matches("\\d{1,5}")) {
      size = Integer.parseInt(words[2]) + 2;
      if (in.readableBytes() < length + 1 + size) {
        return;
      }
    }
    in.skipBytes(length + 1 + size);
    command(ctx, words);
  }

  /** The word by which an answer is told apart; empty if the command has none. */
  static String id(String[] words) {
    String id = "";
    for (int i = 2; i < words.length; i++) {
      id = words[i].startsWith("O") ? words[i] : id;
    }
    return id;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
