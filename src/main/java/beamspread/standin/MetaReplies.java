package beamspread.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Cuts what a node answers into replies; the values of reads are passed over. */
public abstract class MetaReplies extends ByteToMessageDecoder {
  /** One reply, as the words of its line. */
  protected abstract void reply(ChannelHandlerContext ctx, String[] words);

  /** Whether a reply serves what was asked. */
  protected static boolean serves(String[] words) {
    return words[0].equals("VA") || words[0].equals("HD");
  }

  /** Whether it turns it away, to come again. */
  protected static boolean turnsAway(String[] words) {
    return words.length > 1 && words[1].equals("busy");
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    int length = in.bytesBefore((byte) '\n');
    if (length < 0) {
      return;
    }
    String[] words =
        in.toString(in.readerIndex(), length, StandardCharsets.ISO_8859_1).strip().split(" ");
    int size = words[0].equals("VA") ? Integer.parseInt(words[1]) + 2 : 0;
    if (in.readableBytes() >= length + 1 + size) {
      in.skipBytes(length + 1 + size);
      reply(ctx, words);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
