package beamspread.node.mgmt;

import beamspread.loop.ListeningSocket;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.concurrent.TimeUnit;

/**
 * Listens for operators' calls. Guards against callers who say nothing, or half a call, and stay:
 * they get so long, few are kept, and the one who has been there longest gives way to the next. It
 * could do harm to a caller that takes seconds to send a call of some bytes.
 */
public final class MgmtServer {
  /** Connections at a time, and descriptors that a node keeps for them. */
  public static final int CONNECTIONS = 16;

  /** How long a caller may take over a call. */
  public static final long PATIENCE_MILLIS = 3000;

  private static final int LONGEST_BODY = 4096;

  private final long patienceMillis;
  private final Channel listener;
  private final LinkedHashSet<Channel> open = new LinkedHashSet<>();

  /**
   * Listens.
   *
   * @param sockets what listening sockets are made of
   * @param token what callers must name to change anything, null for nothing
   * @param patienceMillis how long a caller may take over a call
   * @throws IOException if the address can't be listened on
   */
  public MgmtServer(
      EventLoop loop,
      ServerBootstrap sockets,
      ByteBufAllocator allocator,
      SocketAddress address,
      byte[] token,
      long patienceMillis,
      MgmtCalls calls)
      throws IOException, InterruptedException {
    this.patienceMillis = patienceMillis;
    listener =
        ListeningSocket.open(
            sockets.group(loop).childOption(ChannelOption.ALLOCATOR, allocator),
            address,
            "cannot listen on mgmt " + address,
            channel -> {
              accept(channel);
              channel
                  .pipeline()
                  .addLast(
                      new HttpServerCodec(1024, 4096, LONGEST_BODY),
                      new Whole(),
                      new MgmtHandler(calls, token));
            });
  }

  private void accept(Channel channel) {
    if (open.size() >= CONNECTIONS) {
      Iterator<Channel> oldest = open.iterator();
      Channel gives = oldest.next();
      oldest.remove();
      gives.close();
    }
    open.add(channel);
    channel.closeFuture().addListener(closed -> open.remove(channel));
    channel.eventLoop().schedule(() -> channel.close(), patienceMillis, TimeUnit.MILLISECONDS);
  }

  /** Makes a call whole; one that is too long is told so by the handler behind. */
  private static final class Whole extends HttpObjectAggregator {
    Whole() {
      super(LONGEST_BODY);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
      ctx.fireExceptionCaught(
          new TooLongFrameException("a body of over " + LONGEST_BODY + " bytes"));
    }
  }

  /** Where it listens. */
  public SocketAddress address() {
    return listener.localAddress();
  }
}
