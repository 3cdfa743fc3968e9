package beamspread.agent;

import beamspread.fleet.api.Json;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Asks nodes for their status; none that hangs holds anything up. */
final class StatusClient {
  private static final int LONGEST = 64 << 10;

  private final EventLoop loop;

  StatusClient(EventLoop loop) {
    this.loop = loop;
  }

  /** Asks on this socket; tells what came, null if nothing of use did in time, once. */
  void ask(Path socket, long limitNanos, Consumer<NodeSays> told) {
    Answer answer = new Answer(told);
    var connected =
        new Bootstrap()
            .group(loop)
            .channel(NioDomainSocketChannel.class)
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(io.netty.channel.Channel channel) {
                    channel.pipeline().addLast(answer);
                  }
                })
            .connect(UnixDomainSocketAddress.of(socket));
    connected.addListener(
        done -> {
          if (!done.isSuccess()) {
            answer.tell(null);
          }
        });
    loop.schedule(
        () -> {
          answer.tell(null);
          connected.channel().close();
        },
        limitNanos,
        TimeUnit.NANOSECONDS);
  }

  private static final class Answer extends SimpleChannelInboundHandler<ByteBuf> {
    private final Consumer<NodeSays> told;
    private final StringBuilder text = new StringBuilder();
    private boolean over;

    Answer(Consumer<NodeSays> told) {
      this.told = told;
    }

    void tell(NodeSays says) {
      if (!over) {
        over = true;
        told.accept(says);
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
      text.append(bytes.toString(StandardCharsets.UTF_8));
      if (text.length() > LONGEST) {
        ctx.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      try {
        tell(text.length() > LONGEST ? null : NodeSays.of(text.toString()));
      } catch (Json.BadJsonException e) {
        tell(null);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
