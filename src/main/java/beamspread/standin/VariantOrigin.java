package beamspread.standin;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;

/** A stand-in cache server that keeps nothing: each read has the key's value at that time. */
public final class VariantOrigin implements AutoCloseable {
  private final VariantValues values;
  private final Channel listener;

  /** A server of these values on a free port of the loopback address. */
  public VariantOrigin(EventLoop loop, VariantValues values)
      throws IOException, InterruptedException {
    this.values = values;
    this.listener =
        CacheServer.listen(loop, channel -> channel.pipeline().addLast(new Connection()));
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  @Override
  public void close() {
    listener.close();
  }

  private final class Connection extends MetaCommands {
    @Override
    void command(ChannelHandlerContext ctx, String[] words) {
      ctx.writeAndFlush(ByteBufUtil.writeAscii(ctx.alloc(), answer(words)));
    }

    private String answer(String[] words) {
      if (words[0].equals("mn")) {
        return "MN\r\n";
      }
      if (words[0].equals("ms")) {
        // A write's value is its id, by which it is told from all others.
        values.change(words[1], "written-" + id(words).substring(1));
        return "HD " + id(words) + " c1\r\n";
      }
      String value = values.ask(words[1]);
      return "VA " + value.length() + " " + id(words) + " h1\r\n" + value + "\r\n";
    }
  }
}
