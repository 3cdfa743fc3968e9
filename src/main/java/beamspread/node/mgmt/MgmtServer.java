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
 * Listens for management calls. Callers that send nothing or an incomplete call and keep their
 * connection open cannot block others: each call has a time limit, the number of connections is
 * bounded, and a new connection evicts the oldest. A caller that takes seconds to send a short call
 * may be disconnected.
 */
public final class MgmtServer {
  /** Maximum open connections, for which a node reserves descriptors. */
  public static final int MAX_CONNECTIONS = 16;

  /** Time after which a connection is closed, in milliseconds. */
  public static final long CALL_TIMEOUT_MILLIS = 3000;

  private static final int MAX_BODY_BYTES = 4096;

  private final long callTimeoutMillis;
  private final Channel listener;
  private final LinkedHashSet<Channel> openChannels = new LinkedHashSet<>();

  /**
   * Starts to listen.
   *
   * @param sockets the bootstrap for the listening socket
   * @param token the bearer token that calls which change something must have; null for none
   * @param callTimeoutMillis the time after which a connection is closed, in milliseconds
   * @throws IOException if the address can't be bound
   */
  public MgmtServer(
      EventLoop loop,
      ServerBootstrap sockets,
      ByteBufAllocator allocator,
      SocketAddress address,
      byte[] token,
      long callTimeoutMillis,
      MgmtCalls calls)
      throws IOException, InterruptedException {
    this.callTimeoutMillis = callTimeoutMillis;
    listener =
        ListeningSocket.open(
            sockets.group(loop).childOption(ChannelOption.ALLOCATOR, allocator),
            address,
            "cannot listen on the management address " + address,
            channel -> {
              accept(channel);
              channel
                  .pipeline()
                  .addLast(
                      new HttpServerCodec(1024, 4096, MAX_BODY_BYTES),
                      new CallAggregator(),
                      new MgmtHandler(calls, token));
            });
  }

  private void accept(Channel channel) {
    if (openChannels.size() >= MAX_CONNECTIONS) {
      Iterator<Channel> oldest = openChannels.iterator();
      Channel evicted = oldest.next();
      oldest.remove();
      evicted.close();
    }
    openChannels.add(channel);
    channel.closeFuture().addListener(closed -> openChannels.remove(channel));
    channel.eventLoop().schedule(() -> channel.close(), callTimeoutMillis, TimeUnit.MILLISECONDS);
  }

  /** Aggregates the parts of a call; the next handler answers one that is too long. */
  private static final class CallAggregator extends HttpObjectAggregator {
    CallAggregator() {
      super(MAX_BODY_BYTES);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
      ctx.fireExceptionCaught(
          new TooLongFrameException("a body of over " + MAX_BODY_BYTES + " bytes"));
    }
  }

  /** Returns the address that this server listens on. */
  public SocketAddress address() {
    return listener.localAddress();
  }
}
