package beamspread.node.server;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.LeakCheck;
import beamspread.model.Outcome;
import beamspread.model.Settings;
import beamspread.node.wire.MemoryBudget;
import beamspread.node.wire.MetaCommand;
import beamspread.node.wire.MetaReply;
import beamspread.pool.PoolActions;
import beamspread.pool.PoolSettings;
import beamspread.pool.Pools;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/** A reply that comes in small pieces: what counts is the time since the last one. */
@ExtendWith(LeakCheck.class)
class SlowPiecesTest {
  private static final long LIMIT = 60_000_000_000L;
  private static final long GAP = 20_000_000L;

  /** Nothing is under way; only the half reply is looked at. */
  private static final class Nothing implements PoolActions<Attempt>, Outcomes {
    @Override
    public void open(long server, long link) {}

    @Override
    public boolean write(long link, Attempt attempt) {
      return true;
    }

    @Override
    public void close(long link) {}

    @Override
    public void unreachable(Attempt attempt) {}

    @Override
    public void full(Attempt attempt) {}

    @Override
    public boolean wanted(Attempt attempt) {
      return true;
    }

    @Override
    public void written(Attempt attempt) {}

    @Override
    public void ended(Attempt attempt, Outcome.Result result) {}

    @Override
    public void replied(Attempt attempt, MetaReply reply) {}

    @Override
    public ValueSink begun(Attempt attempt, MetaReply head, ValueSource source) {
      return null;
    }

    @Override
    public void report(String where, Throwable cause) {
      throw new AssertionError(where, cause);
    }
  }

  private static Attempt attempt() {
    Settings.ServiceClass reads =
        new Settings.ServiceClass(
            "read", 1, 0, 2, 1, 0, Settings.Effect.SAFE, Settings.Group.ALL, 1, false);
    EmbeddedChannel client =
        new EmbeddedChannel(new MetaCommand.Decoder(new MemoryBudget(1000), List.of(reads)));
    client.writeInbound(text("mg key v O1 Pc=read,d=500\r\n"));
    MetaCommand command = client.readInbound();
    client.finishAndReleaseAll();
    return new Attempt(1, System.nanoTime() + LIMIT, false) {
      @Override
      protected MetaCommand command() {
        return command;
      }
    };
  }

  @Test
  void eachPieceHasItsOwnTimeAndTheLastOneToo() throws Exception {
    Nothing nothing = new Nothing();
    PoolSettings settings = new PoolSettings(1, 0, 0, 8, 8, 1, 1, 0, 1, LIMIT, 0, LIMIT, 0);
    ServerLink link = new ServerLink(1, new Pools<>(settings, () -> 0, nothing), nothing, () -> {});
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
    EventLoop loop = group.next();
    CompletableFuture<Channel> accepted = new CompletableFuture<>();
    try {
      LocalAddress address = new LocalAddress(SlowPiecesTest.class);
      new ServerBootstrap()
          .group(loop)
          .channel(LocalServerChannel.class)
          .childHandler(
              new ChannelInboundHandlerAdapter() {
                @Override
                public void channelActive(ChannelHandlerContext ctx) {
                  accepted.complete(ctx.channel());
                }
              })
          .bind(address)
          .sync();
      Bootstrap bootstrap = new Bootstrap().group(loop).channel(LocalChannel.class);
      Channel channel = loop.submit(() -> link.open(bootstrap, address)).get().sync().channel();
      Channel server = accepted.get(10, TimeUnit.SECONDS);
      loop.submit(() -> link.write(attempt())).sync();
      server.writeAndFlush(text("VA 50 O1 h1\r\nabc")).sync();
      loop.submit(() -> {}).sync();
      long first = System.nanoTime();
      Thread.sleep(GAP / 1_000_000);
      server.writeAndFlush(text("def")).sync();
      loop.submit(() -> {}).sync();
      loop.submit(() -> link.closeIfStuck(first + LIMIT + GAP / 2, LIMIT)).sync();
      assertThat(channel.isOpen()).as("a piece came since").isTrue();
      loop.submit(() -> link.closeIfStuck(System.nanoTime() + LIMIT, LIMIT)).sync();
      assertThat(channel.isOpen()).as("nothing came for too long").isFalse();
    } finally {
      group.shutdownGracefully(30, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
  }

  private static ByteBuf text(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }
}
