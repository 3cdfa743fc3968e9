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

/** A reply that arrives in small pieces: a stall counts from the last piece, and ends nothing. */
@ExtendWith(LeakCheck.class)
class StalledReplyTest {
  private static final long MIN_STALL_NANOS = 60_000_000_000L;
  private static final long PIECE_INTERVAL_NANOS = 20_000_000L;

  /** Ignores all callbacks; only the incomplete reply is under test. */
  private static final class NoOpHandlers implements PoolActions<Attempt>, AttemptListener {
    private int stalled;
    private int replies;

    @Override
    public void open(long server, long connectionId) {}

    @Override
    public boolean write(long connectionId, Attempt attempt) {
      return true;
    }

    @Override
    public void close(long connectionId) {}

    @Override
    public void rejectUnreachable(Attempt attempt) {}

    @Override
    public void rejectFull(Attempt attempt) {}

    @Override
    public boolean isWanted(Attempt attempt) {
      return true;
    }

    @Override
    public void replyProblem(String description) {}

    @Override
    public void replyStalled(Attempt attempt, long pausedNanos) {
      stalled++;
      assertThat(pausedNanos).isGreaterThan(MIN_STALL_NANOS);
    }

    @Override
    public void connectionClosed(String description) {}

    @Override
    public void attemptWritten(Attempt attempt) {}

    @Override
    public void attemptEnded(Attempt attempt, Outcome.Result result) {}

    @Override
    public void replyReceived(Attempt attempt, MetaReply reply) {
      replies++;
    }

    @Override
    public ValueSink valueStarted(Attempt attempt, MetaReply head, ValueSource source) {
      return null;
    }

    @Override
    public void report(String component, Throwable cause) {
      throw new AssertionError(component, cause);
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
    return new Attempt(1, System.nanoTime() + MIN_STALL_NANOS, false, false) {
      @Override
      protected MetaCommand command() {
        return command;
      }
    };
  }

  @Test
  void theStallLimitRestartsWithEachPieceOfAReply() throws Exception {
    NoOpHandlers handlers = new NoOpHandlers();
    PoolSettings settings =
        new PoolSettings(1, 0, 0, 8, 8, 1, 1, 0, 1, MIN_STALL_NANOS, 0, MIN_STALL_NANOS, 0);
    ServerConnection connection =
        new ServerConnection(
            1, new Pools<>(settings, () -> 0, handlers), handlers, new ReplyStatistics(), () -> {});
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
    EventLoop loop = group.next();
    CompletableFuture<Channel> accepted = new CompletableFuture<>();
    try {
      LocalAddress address = new LocalAddress(StalledReplyTest.class);
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
      Channel channel =
          loop.submit(() -> connection.open(bootstrap, address)).get().sync().channel();
      Channel server = accepted.get(10, TimeUnit.SECONDS);
      loop.submit(() -> connection.write(attempt())).sync();
      server.writeAndFlush(text("VA 50 O1 h1\r\nabc")).sync();
      loop.submit(() -> {}).sync();
      long firstPieceAt = System.nanoTime();
      Thread.sleep(PIECE_INTERVAL_NANOS / 1_000_000);
      server.writeAndFlush(text("def")).sync();
      loop.submit(() -> {}).sync();
      loop.submit(
              () ->
                  connection.checkStall(
                      firstPieceAt + MIN_STALL_NANOS + PIECE_INTERVAL_NANOS / 2, MIN_STALL_NANOS))
          .sync();
      assertThat(handlers.stalled).as("a piece arrived since").isZero();
      for (int i = 1; i <= 2; i++) {
        loop.submit(
                () -> connection.checkStall(System.nanoTime() + MIN_STALL_NANOS, MIN_STALL_NANOS))
            .sync();
        assertThat(handlers.stalled).as("reported at each check").isEqualTo(i);
      }
      assertThat(channel.isOpen()).as("the rest may still come").isTrue();
      server.writeAndFlush(text("v".repeat(44) + "\r\n")).sync();
      loop.submit(() -> {}).sync();
      loop.submit(
              () -> connection.checkStall(System.nanoTime() + 3 * MIN_STALL_NANOS, MIN_STALL_NANOS))
          .sync();
      assertThat(handlers.stalled).as("the reply is whole").isEqualTo(2);
      assertThat(handlers.replies).isEqualTo(1);
    } finally {
      group.shutdownGracefully(30, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
  }

  private static ByteBuf text(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }
}
