package beamspread.node;

import beamspread.model.Outcome;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * One connection to a cache server. Answers come in the order of the commands; each is matched with
 * the attempt that waits longest.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
  /**
   * How long a long value may pause: a cache server that works pauses for 0.1 s at most, and a
   * client that is kept waiting for over 2 s has lost it.
   */
  private static final long MAX_PAUSE_NANOS = 1_500_000_000L;

  private final ServerPool pool;
  private final Dispatcher dispatcher;
  private final ArrayDeque<Attempt> underWay = new ArrayDeque<>();
  private final long openedAt = System.nanoTime();
  private Channel channel;
  private long heardAt = openedAt;
  private long usedAt = openedAt;

  /** Whether it gets nothing more and closes once nobody waits for what is under way. */
  private boolean retiring;

  /** Attempts under way that somebody still waits for. */
  private int awaited;

  private boolean closed;

  /** The reply whose long value is coming, and how many bytes of it with its CRLF are to come. */
  private MetaReply streaming;

  private int missing;

  ServerConnection(ServerPool pool, Dispatcher dispatcher) {
    this.pool = pool;
    this.dispatcher = dispatcher;
  }

  ChannelFuture open(Bootstrap bootstrap, SocketAddress address) {
    ChannelFuture future = bootstrap.clone().handler(this).connect(address);
    channel = future.channel();
    return future;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    ctx.pipeline().addBefore(ctx.name(), null, new MetaReply.Decoder());
  }

  ByteBufAllocator alloc() {
    return channel.alloc();
  }

  long openedAt() {
    return openedAt;
  }

  long heardAt() {
    return heardAt;
  }

  long usedAt() {
    return usedAt;
  }

  /** Attempts under way; more than any limit where nothing may be written any more. */
  int load() {
    return retiring || closed || streaming != null ? Integer.MAX_VALUE : underWay.size();
  }

  /** Whether an attempt is better written here: fewer to wait for, or more lately in use. */
  boolean preferredTo(ServerConnection other) {
    return other == null
        || load() < other.load()
        || (load() == other.load() && usedAt - other.usedAt > 0);
  }

  void write(Attempt attempt) {
    attempt.connection = this;
    underWay.add(attempt);
    awaited++;
    usedAt = System.nanoTime();
    long millis = (attempt.deadlineNanos - usedAt + 999_999) / 1_000_000;
    ChannelFuture written =
        channel.writeAndFlush(attempt.request.command.encode(channel.alloc(), millis));
    if (written.isDone()) {
      attempt.written = written.isSuccess();
    } else {
      written.addListener(done -> attempt.written = done.isSuccess());
    }
  }

  /** Nothing more is written here; closes once nobody waits for what is under way. */
  void retire() {
    retiring = true;
    if (awaited == 0) {
      channel.close();
    }
  }

  /**
   * Nobody waits for this attempt any more. Closing the connection gives it up, but would break the
   * others on it: where there are any, its answer is read and dropped.
   */
  void abandon(Attempt attempt, boolean overdue) {
    if (!underWay.contains(attempt)) {
      return;
    }
    awaited--;
    // Guards against writing more behind an attempt that may never be answered.
    retire();
    if (overdue && heardAt - attempt.sentAt < 0) {
      pool.suspectSilence(attempt.sentAt);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    heardAt = System.nanoTime();
    if (message instanceof ByteBuf piece) {
      try {
        piece(piece);
      } finally {
        piece.release();
      }
      return;
    }
    MetaReply reply = (MetaReply) message;
    try {
      reply(reply);
    } finally {
      if (reply.value() != null) {
        reply.value().release();
      }
    }
  }

  private void reply(MetaReply reply) {
    Attempt head = underWay.peek();
    if (closed) {
      return;
    }
    if (head == null || (reply.id() != null && !reply.id().equals(head.request.id()))) {
      // Guards against serving one request with another's answer: what follows cannot be trusted.
      channel.close();
      return;
    }
    if (reply.streamed()) {
      streaming = reply;
      missing = reply.length() + 2;
      if (!head.over) {
        dispatcher.replied(head, reply, this);
        watchPauses();
      }
      return;
    }
    boolean waitedFor = !head.over;
    dispatcher.replied(head, reply, this);
    finish(waitedFor);
  }

  private void piece(ByteBuf bytes) {
    if (closed || streaming == null) {
      return;
    }
    Attempt head = underWay.peek();
    missing -= bytes.readableBytes();
    boolean waitedFor = !head.over;
    MetaReply reply = streaming;
    if (missing == 0) {
      streaming = null;
    }
    if (waitedFor) {
      dispatcher.piece(head, bytes, reply, missing == 0);
    }
    if (missing == 0) {
      finish(waitedFor);
    }
  }

  /** The answer that was waited for longest has come whole. */
  private void finish(boolean waitedFor) {
    underWay.poll();
    if (waitedFor) {
      awaited--;
    }
    usedAt = System.nanoTime();
    if (retiring) {
      retire();
    } else if (underWay.isEmpty() && !closed) {
      pool.free(this);
    }
  }

  /** Reads no more for now: the client does not take what has come. */
  void pause() {
    channel.config().setAutoRead(false);
  }

  void resume() {
    if (!channel.config().isAutoRead()) {
      heardAt = System.nanoTime();
      channel.config().setAutoRead(true);
    }
  }

  /** Guards against a server that vanishes within a long value, whose attempt has no time-out. */
  private void watchPauses() {
    MetaReply watched = streaming;
    channel
        .eventLoop()
        .schedule(
            () -> {
              if (streaming != watched || closed) {
                return;
              }
              if (channel.config().isAutoRead() && System.nanoTime() - heardAt > MAX_PAUSE_NANOS) {
                channel.close();
              } else {
                watchPauses();
              }
            },
            MAX_PAUSE_NANOS / 4,
            TimeUnit.NANOSECONDS);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closed = true;
    for (Attempt attempt = underWay.poll(); attempt != null; attempt = underWay.poll()) {
      // Only a command whose last byte was not handed to the socket has provably not run.
      dispatcher.ended(
          attempt, attempt.written ? Outcome.Result.RESET : Outcome.Result.CONNECT_FAILED);
    }
    pool.closed(this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException || cause instanceof DecoderException)) {
      dispatcher.report("server connection", cause);
    }
    ctx.close();
  }
}
