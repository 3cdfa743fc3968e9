package beamspread.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** A stand-in discovery: tells every watch the whole list, and then an empty line every 2 s. */
public final class Discovery implements AutoCloseable {
  private final EventLoop loop;
  private final Channel listener;
  private final ChannelGroup watches;
  private final Supplier<String> list;
  private final AtomicLong told = new AtomicLong();
  private final AtomicLong asked = new AtomicLong();

  /** A discovery that lists these servers, on a free port of the loopback address. */
  public Discovery(EventLoop loop, List<CacheServer> servers)
      throws IOException, InterruptedException {
    this(loop, () -> list(2, servers));
  }

  /** A discovery of a list as its text has it, which is asked for on the loop. */
  public Discovery(EventLoop loop, Supplier<String> list) throws IOException, InterruptedException {
    this.loop = loop;
    this.list = list;
    this.watches = new DefaultChannelGroup(loop);
    this.listener =
        CacheServer.listen(
            loop,
            channel ->
                channel.pipeline().addLast(new Counter(), new HttpServerCodec(), new Watch()));
    loop.scheduleAtFixedRate(() -> watches.writeAndFlush(line("\n")), 2, 2, TimeUnit.SECONDS);
  }

  /** Bytes that it has sent to all that called. */
  public long toldBytes() {
    return told.get();
  }

  /** Bytes that it has got from all that called. */
  public long askedBytes() {
    return asked.get();
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** The list as discovery has it. */
  public static String list(int version, List<CacheServer> servers) {
    return listAt(version, servers.stream().map(CacheServer::address).toList());
  }

  /** The same of servers at these addresses. */
  public static String listAt(int version, List<InetSocketAddress> servers) {
    List<String> lines = new ArrayList<>();
    for (InetSocketAddress server : servers) {
      lines.add(
          ("{\"id\":\"s-%d\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"a\",\"kind\":\"box\","
                  + "\"state\":\"active\",\"weight\":1.0}")
              .formatted(server.getPort(), server.getPort()));
    }
    return "{\"version\":%d,\"full\":true,\"servers\":[%s]}"
        .formatted(version, String.join(",", lines));
  }

  /** Tells all watches the list as it is now. */
  public void tell() {
    loop.execute(() -> watches.writeAndFlush(line(list.get() + "\n")));
  }

  /** Tells all watches this, as it stands. */
  public void tell(String text) {
    loop.execute(() -> watches.writeAndFlush(line(text)));
  }

  private static DefaultHttpContent line(String text) {
    return new DefaultHttpContent(
        ByteBufUtil.writeAscii(io.netty.buffer.UnpooledByteBufAllocator.DEFAULT, text));
  }

  @Override
  public void close() {
    listener.close();
    watches.close();
  }

  /** Counts what goes over a connection, in the form in which it does. */
  private final class Counter extends ChannelDuplexHandler {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      asked.addAndGet(size(message));
      ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      told.addAndGet(size(message));
      ctx.write(message, promise);
    }

    private static long size(Object message) {
      return message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
    }
  }

  private final class Watch extends SimpleChannelInboundHandler<Object> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
      if (message instanceof HttpRequest) {
        var head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        HttpUtil.setTransferEncodingChunked(head, true);
        ctx.write(head);
        ctx.writeAndFlush(line(list.get() + "\n"));
        watches.add(ctx.channel());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
