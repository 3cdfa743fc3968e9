package beamspread.node.server;

import beamspread.loop.SocketLook;
import beamspread.model.Outcome;
import beamspread.node.wire.MetaReply;
import beamspread.node.wire.ValuePart;
import beamspread.pool.Pools;
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
 * The socket of one connection to a cache server. Answers come in the order of the commands; each
 * is matched with the attempt that waits longest.
 */
final class ServerLink extends ChannelInboundHandlerAdapter implements ValueSource {
  final long id;
  private final Pools<Attempt> pools;
  private final Outcomes outcomes;
  private final Runnable gone;
  private final MetaReply.Decoder decoder = new MetaReply.Decoder();
  private final ArrayDeque<Attempt> underWay = new ArrayDeque<>();
  private Channel channel;

  /** Since when nothing more has come of a reply that is half here, 0 if none is. */
  private long midwaySince;

  /** How often something had been read by then. */
  private long readsBefore;

  /** Whether a large value comes for the attempt that waits longest. */
  private boolean streaming;

  /** Whether somebody waited for it when its head came. */
  private boolean awaited;

  /** Where it goes, null for nowhere. */
  private ValueSink sink;

  /** Whose answer came last: it may come a second time. */
  private String answeredLast;

  /** Whether it was closed for what came on it. */
  private boolean spoilt;

  private boolean closed;

  ServerLink(long id, Pools<Attempt> pools, Outcomes outcomes, Runnable gone) {
    this.id = id;
    this.gone = gone;
    this.pools = pools;
    this.outcomes = outcomes;
  }

  ChannelFuture open(Bootstrap bootstrap, SocketAddress address) {
    ChannelFuture future = bootstrap.clone().handler(this).connect(address);
    channel = future.channel();
    return future;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    ctx.pipeline().addBefore(ctx.name(), null, decoder);
  }

  void write(Attempt attempt) {
    attempt.link = this;
    attempt.writtenAt = System.nanoTime();
    underWay.add(attempt);
    long millis = (attempt.deadlineNanos - attempt.writtenAt + 999_999) / 1_000_000;
    ChannelFuture written =
        channel.writeAndFlush(attempt.command().encode(channel.alloc(), millis));
    if (written.isDone()) {
      written(attempt, written.isSuccess());
    } else {
      written.addListener(done -> written(attempt, done.isSuccess()));
    }
  }

  private void written(Attempt attempt, boolean whole) {
    attempt.written = whole;
    if (whole) {
      outcomes.written(attempt);
    }
  }

  @Override
  public void close() {
    channel.close();
  }

  /** Whether an attempt is under way here. */
  boolean has(Attempt attempt) {
    return underWay.contains(attempt);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    pools.heard(System.nanoTime(), id);
    if (message instanceof ValuePart part) {
      part(part);
      return;
    }
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
    boolean answers = head != null && reply.answers(head.command());
    if (!answers && reply.id() != null && reply.id().equals(answeredLast)) {
      // An answer that comes twice: the copy is dropped. What is under way may still be answered,
      // but nothing more is trusted to a peer that has lost count.
      pools.retire(id);
      return;
    }
    if (!answers) {
      // Guards against serving one request with another's answer: what follows cannot be trusted.
      spoil();
      return;
    }
    if (reply.following() > 0) {
      streaming = true;
      awaited = !head.over();
      pools.begun(System.nanoTime(), id, head.writtenAt);
      sink = outcomes.begun(head, reply, this);
      return;
    }
    // Off the queue first, so that what the answer sets off finds the connection as it is.
    underWay.poll();
    answeredLast = head.command().request.id();
    boolean turnedAway = reply.result() == Outcome.Result.FULL;
    pools.answered(System.nanoTime(), id, head.writtenAt, !head.over(), head.guarded, turnedAway);
    outcomes.replied(head, reply);
  }

  private void part(ValuePart part) {
    if (closed || spoilt || !streaming) {
      part.bytes().release();
      return;
    }
    if (sink == null) {
      part.bytes().release();
    } else {
      sink.part(part.bytes());
    }
    if (part.last()) {
      ValueSink to = sink;
      sink = null;
      streaming = false;
      Attempt head = underWay.poll();
      answeredLast = head.command().request.id();
      pools.answered(System.nanoTime(), id, head.writtenAt, awaited, head.guarded, false);
      if (to != null) {
        to.whole();
      }
      channel.config().setAutoRead(true);
    }
  }

  @Override
  public void reading(boolean on) {
    channel.config().setAutoRead(on);
  }

  @Override
  public boolean shared() {
    return underWay.size() > 1;
  }

  /**
   * All that had come was read. Guards against bytes behind a good answer: only now may the
   * connection be used again, and not if anything is left that nobody has asked for.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (closed || spoilt) {
      return;
    }
    boolean midway = decoder.midway();
    long now = System.nanoTime();
    if (!midway || streaming) {
      // How long a large value may take to come on is decided where it goes.
      midwaySince = 0;
    } else if (midwaySince == 0 || decoder.reads() != readsBefore) {
      midwaySince = now;
    }
    readsBefore = decoder.reads();
    if (midway && underWay.isEmpty()) {
      spoil();
    } else {
      pools.readDone(now, id, midway);
    }
  }

  /**
   * What came cannot be an answer, so that neither can what follows. The server runs and has
   * perhaps carried out all that is under way here.
   */
  private void spoil() {
    spoilt = true;
    pools.ending(id, true);
    channel.close();
  }

  /**
   * Guards against a reply that begins and does not go on: a line without its CRLF, a length beyond
   * the value, a machine that vanishes halfway. The limit is one between two pieces, since slow
   * servers write small ones; how long all of them may take, the attempts' time limits say.
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
    pools.ending(id, spoilt);
    if (sink != null) {
      sink.broken();
      sink = null;
    }
    Outcome.Result result = spoilt ? Outcome.Result.SPOILT : Outcome.Result.RESET;
    for (Attempt attempt = underWay.poll(); attempt != null; attempt = underWay.poll()) {
      // Only a command whose last byte was not handed to the socket has provably not run.
      outcomes.ended(attempt, attempt.written ? result : Outcome.Result.CONNECT_FAILED);
    }
    pools.closed(System.nanoTime(), id);
    gone.run();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof DecoderException) {
      spoil();
      return;
    }
    if (!(cause instanceof IOException)) {
      outcomes.report("server connection", cause);
    }
    ctx.close();
  }
}
