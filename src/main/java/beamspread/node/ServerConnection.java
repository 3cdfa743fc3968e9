package beamspread.node;

import beamspread.loop.SocketLook;
import beamspread.model.Outcome;
import beamspread.node.wire.MetaReply;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayDeque;

/**
 * One connection to a cache server. Answers come in the order of the commands; each is matched with
 * the attempt that waits longest.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
  /** After so long without a close behind an answer none is to be expected. */
  private static final long SETTLED_NANOS = 5_000_000L;

  private final ServerPool pool;
  private final Dispatcher dispatcher;
  private final SocketAddress address;
  private final MetaReply.Decoder decoder = new MetaReply.Decoder();
  private final ArrayDeque<Attempt> underWay = new ArrayDeque<>();
  private final long openedAt = System.nanoTime();
  private Channel channel;
  private long heardAt = openedAt;
  private long usedAt = openedAt;

  /** Since when a reply has been half here, 0 if none is. */
  private long midwaySince;

  /** Whose answer came last: it may come a second time. */
  private String answeredLast;

  /** Whether it gets nothing more and closes once nobody waits for what is under way. */
  private boolean retiring;

  /** Whether what has come is still being read: more than an answer may be in it. */
  private boolean reading;

  /** Whether it was closed for what came on it. */
  private boolean spoilt;

  /** Attempts under way that somebody still waits for. */
  private int awaited;

  private boolean closed;

  ServerConnection(ServerPool pool, Dispatcher dispatcher, SocketAddress address) {
    this.pool = pool;
    this.dispatcher = dispatcher;
    this.address = address;
  }

  ChannelFuture open(Bootstrap bootstrap) {
    ChannelFuture future = bootstrap.clone().handler(this).connect(address);
    channel = future.channel();
    return future;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    ctx.pipeline().addBefore(ctx.name(), null, decoder);
  }

  SocketAddress address() {
    return address;
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

  /** Attempts under way; more than any limit where nothing may be written now. */
  int load() {
    return unusable() || reading ? Integer.MAX_VALUE : underWay.size();
  }

  /** Whether nothing may ever be written here any more. */
  boolean unusable() {
    return retiring || closed || spoilt;
  }

  /** Whether it can be used as soon as all that has come is read. */
  boolean isFreeSoon() {
    return underWay.isEmpty() && reading && !unusable();
  }

  /** Whether nothing is under way here. */
  boolean isIdle() {
    return underWay.isEmpty() && !reading && !unusable();
  }

  /**
   * Whether an attempt is better written here: fewer to wait for, or more lately in use, but not
   * just now. Guards against a server that closes a connection right behind an answer: what is
   * written before that is seen ends as a reset, and may have run.
   */
  boolean preferredTo(ServerConnection other, long now) {
    if (other == null || load() != other.load()) {
      return other == null || load() < other.load();
    }
    boolean settled = now - usedAt > SETTLED_NANOS;
    return settled == (now - other.usedAt > SETTLED_NANOS) ? usedAt - other.usedAt > 0 : settled;
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
    // Guards against writing more behind an attempt that may never be answered. Where others wait
    // here and answers still come, this one's is due as well: a connection that only waits for its
    // end would be one more at a server that takes few, just when it is slow.
    if (awaited == 0 || heardAt - attempt.sentAt < 0) {
      retire();
    }
    if (overdue && heardAt - attempt.sentAt < 0) {
      pool.suspectSilence(attempt.sentAt);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    reading = true;
    heardAt = System.nanoTime();
    MetaReply reply = (MetaReply) message;
    try {
      reply(reply);
    } finally {
      reply.release();
    }
  }

  private void reply(MetaReply reply) {
    if (closed || spoilt) {
      return;
    }
    Attempt head = underWay.peek();
    if (reply.id() != null
        && reply.id().equals(answeredLast)
        && (head == null || !reply.answers(head.request.command))) {
      // An answer that comes twice: the copy is dropped. What is under way may still be answered,
      // but nothing more is trusted to a peer that has lost count.
      retire();
      return;
    }
    if (head == null || !reply.answers(head.request.command)) {
      // Guards against serving one request with another's answer: what follows cannot be trusted.
      spoil();
      return;
    }
    boolean waitedFor = !head.over;
    // Off the queue first, so that what the answer sets off finds the connection as it is.
    underWay.poll();
    if (waitedFor) {
      awaited--;
    }
    answeredLast = head.request.id();
    usedAt = heardAt;
    dispatcher.replied(head, reply);
    if (retiring) {
      retire();
    }
  }

  /**
   * All that had come is read. Guards against bytes behind a good answer: only now may the
   * connection be used again, and not if anything is left that nobody has asked for.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    reading = false;
    if (closed || spoilt) {
      return;
    }
    boolean midway = decoder.midway();
    midwaySince = !midway ? 0 : midwaySince == 0 ? System.nanoTime() : midwaySince;
    if (midway) {
      heardAt = System.nanoTime();
      if (underWay.isEmpty()) {
        spoil();
      }
    } else {
      pool.free(this);
    }
  }

  /**
   * What came cannot be an answer, so that neither can what follows. The server runs and has
   * perhaps carried out all that is under way here.
   */
  private void spoil() {
    spoilt = true;
    channel.close();
  }

  /**
   * Guards against a reply that begins and does not end: a line without its CRLF, a length beyond
   * the value, a machine that vanishes halfway. A cache server writes an answer in one go, so the
   * limit is far above what a network needs; set too low, it would break slow but good answers.
   */
  void closeIfStuck(long now, long limit) {
    long since = midwaySince;
    if (since != 0 && now - since > limit && !closed) {
      look();
      if (midwaySince == since && !closed) {
        spoil();
      }
    }
  }

  /** Takes in what lies in the socket; only from a task of the event loop. */
  void look() {
    SocketLook.read(channel);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closed = true;
    Outcome.Result result = spoilt ? Outcome.Result.SPOILT : Outcome.Result.RESET;
    for (Attempt attempt = underWay.poll(); attempt != null; attempt = underWay.poll()) {
      // Only a command whose last byte was not handed to the socket has provably not run.
      dispatcher.ended(attempt, attempt.written ? result : Outcome.Result.CONNECT_FAILED);
    }
    pool.closed(this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof DecoderException) {
      spoil();
      return;
    }
    if (!(cause instanceof IOException)) {
      dispatcher.report("server connection", cause);
    }
    ctx.close();
  }
}
