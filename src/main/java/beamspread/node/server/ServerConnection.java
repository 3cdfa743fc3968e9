package beamspread.node.server;

import beamspread.loop.SocketPolling;
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
 * The socket of one connection to a cache server. Answers arrive in the order of the commands; each
 * is matched with the oldest attempt in flight.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter implements ValueSource {
  final long id;
  private final Pools<Attempt> pools;
  private final AttemptListener listener;
  private final Runnable onClosed;
  private final MetaReply.Decoder decoder = new MetaReply.Decoder();
  private final ArrayDeque<Attempt> inFlight = new ArrayDeque<>();
  private Channel channel;

  /** When data of the current incomplete reply last arrived, 0 if there is none. */
  private long incompleteSince;

  /** The decoder's read count at the last check. */
  private long readsAtLastCheck;

  /** Whether a large value is being received for the oldest attempt. */
  private boolean streaming;

  /** Whether the attempt was still awaited when the value's head arrived. */
  private boolean valueAwaited;

  /** Receiver of the large value, null to drop it. */
  private ValueSink sink;

  /** Request id of the last answer, to recognize a duplicate of it. */
  private String lastAnsweredId;

  /** Whether it was closed because of invalid data. */
  private boolean protocolError;

  private boolean closed;

  ServerConnection(long id, Pools<Attempt> pools, AttemptListener listener, Runnable onClosed) {
    this.id = id;
    this.onClosed = onClosed;
    this.pools = pools;
    this.listener = listener;
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
    attempt.connection = this;
    attempt.writtenAt = System.nanoTime();
    inFlight.add(attempt);
    long millis = (attempt.deadlineNanos - attempt.writtenAt + 999_999) / 1_000_000;
    ChannelFuture written =
        channel.writeAndFlush(attempt.command().encode(channel.alloc(), millis));
    if (written.isDone()) {
      written(attempt, written.isSuccess());
    } else {
      written.addListener(done -> written(attempt, done.isSuccess()));
    }
  }

  private void written(Attempt attempt, boolean complete) {
    attempt.fullyWritten = complete;
    if (complete) {
      listener.attemptWritten(attempt);
    }
  }

  @Override
  public void close() {
    channel.close();
  }

  /** Returns whether an attempt is in flight here. */
  boolean hasInFlight(Attempt attempt) {
    return inFlight.contains(attempt);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    pools.dataReceived(System.nanoTime(), id);
    if (message instanceof ValuePart part) {
      handleValuePart(part);
      return;
    }
    MetaReply reply = (MetaReply) message;
    try {
      handleReply(reply);
    } finally {
      reply.release();
    }
  }

  private void handleReply(MetaReply reply) {
    if (closed || protocolError) {
      return;
    }
    Attempt oldest = inFlight.peek();
    boolean matches = oldest != null && reply.matches(oldest.command());
    if (!matches && reply.id() != null && reply.id().equals(lastAnsweredId)) {
      // A duplicate answer is dropped. Attempts in flight may still be answered, but nothing more
      // is written to a peer that has lost track.
      pools.retireConnection(id);
      return;
    }
    if (!matches) {
      // Closes the connection rather than serve one request with another's answer: no later reply
      // on it can be matched reliably.
      closeForProtocolError();
      return;
    }
    if (reply.followingBytes() > 0) {
      streaming = true;
      valueAwaited = !oldest.isSettled();
      pools.streamingStarted(System.nanoTime(), id, oldest.writtenAt);
      sink = listener.valueStarted(oldest, reply, this);
      return;
    }
    // Removed from the queue first, so that what the answer triggers sees the current state.
    inFlight.poll();
    lastAnsweredId = oldest.command().request.id();
    boolean serverBusy = reply.result() == Outcome.Result.FULL;
    pools.attemptAnswered(
        System.nanoTime(),
        id,
        oldest.writtenAt,
        !oldest.isSettled(),
        oldest.unrepeatable,
        serverBusy);
    listener.replyReceived(oldest, reply);
  }

  private void handleValuePart(ValuePart part) {
    if (closed || protocolError || !streaming) {
      part.bytes().release();
      return;
    }
    if (sink == null) {
      part.bytes().release();
    } else {
      sink.partReceived(part.bytes());
    }
    if (part.last()) {
      ValueSink completedSink = sink;
      sink = null;
      streaming = false;
      Attempt attempt = inFlight.poll();
      lastAnsweredId = attempt.command().request.id();
      pools.attemptAnswered(
          System.nanoTime(), id, attempt.writtenAt, valueAwaited, attempt.unrepeatable, false);
      if (completedSink != null) {
        completedSink.completed();
      }
      channel.config().setAutoRead(true);
    }
  }

  @Override
  public void setReading(boolean enabled) {
    channel.config().setAutoRead(enabled);
  }

  @Override
  public boolean isShared() {
    return inFlight.size() > 1;
  }

  /**
   * Handles the end of a batch of reads. Only now may the connection be used again, and not if
   * unrequested bytes follow a valid answer.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (closed || protocolError) {
      return;
    }
    boolean incomplete = decoder.isIncomplete();
    long now = System.nanoTime();
    if (!incomplete || streaming) {
      // The receiver of a large value decides how long it may take.
      incompleteSince = 0;
    } else if (incompleteSince == 0 || decoder.readCount() != readsAtLastCheck) {
      incompleteSince = now;
    }
    readsAtLastCheck = decoder.readCount();
    if (incomplete && inFlight.isEmpty()) {
      closeForProtocolError();
    } else {
      pools.readCompleted(now, id, incomplete);
    }
  }

  /**
   * Closes the connection after data that can't be an answer, since nothing after it can be
   * trusted. The server runs and may have executed all attempts in flight here.
   */
  private void closeForProtocolError() {
    protocolError = true;
    pools.connectionEnding(id, true);
    channel.close();
  }

  /**
   * Closes the connection if a reply has begun and does not continue: a line without CRLF, a length
   * beyond the value, or a machine that vanished halfway. The limit applies between two pieces,
   * since slow servers write small ones; the total time is bounded by the deadlines of the
   * attempts.
   */
  void closeIfStalled(long now, long maxStallNanos) {
    long observedSince = incompleteSince;
    if (observedSince != 0 && now - observedSince > maxStallNanos && !closed) {
      readNow();
      if (incompleteSince == observedSince && !closed) {
        closeForProtocolError();
      }
    }
  }

  /** Reads the socket now; only from a task of the event loop. */
  void readNow() {
    SocketPolling.readNow(channel);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closed = true;
    pools.connectionEnding(id, protocolError);
    if (sink != null) {
      sink.aborted();
      sink = null;
    }
    Outcome.Result result = protocolError ? Outcome.Result.SPOILT : Outcome.Result.RESET;
    for (Attempt attempt = inFlight.poll(); attempt != null; attempt = inFlight.poll()) {
      // Only a command whose last byte was not passed to the socket has certainly not run.
      listener.attemptEnded(attempt, attempt.fullyWritten ? result : Outcome.Result.CONNECT_FAILED);
    }
    pools.connectionClosed(System.nanoTime(), id);
    onClosed.run();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof DecoderException) {
      closeForProtocolError();
      return;
    }
    if (!(cause instanceof IOException)) {
      listener.report("server connection", cause);
    }
    ctx.close();
  }
}
