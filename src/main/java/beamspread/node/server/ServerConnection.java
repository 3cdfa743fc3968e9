package beamspread.node.server;

import beamspread.loop.SocketPolling;
import beamspread.model.Outcome;
import beamspread.node.wire.MetaReply;
import beamspread.node.wire.NoOpReply;
import beamspread.node.wire.ValuePart;
import beamspread.pool.Pools;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The socket of one connection to a cache server. {@link ReplyQueue} tells which command a reply
 * answers. A line without an id proves nothing of an attempt that must not be repeated: it counts
 * once the reply to a no-op that is sent behind it has come, or once the server has closed the
 * connection right behind it.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter implements ValueSource {
  /** Lines without an id after which a connection is no longer used: nothing proves them. */
  private static final int MAX_UNIDENTIFIED = 16;

  private static final String NO_OP = "mn\r\n";

  final long id;
  private final Pools<Attempt> pools;
  private final AttemptListener listener;
  private final ReplyStatistics statistics;
  private final Runnable onClosed;
  private final MetaReply.Decoder decoder = new MetaReply.Decoder();
  private final ReplyQueue<Attempt> replies = new ReplyQueue<>();
  private final ReplyStall stall = new ReplyStall();
  private Channel channel;

  /** The attempt whose large value is being received, null if there is none. */
  private Attempt streamingAttempt;

  /** Whether the attempt was still awaited when the value's head arrived. */
  private boolean valueAwaited;

  /** Receiver of the large value, null to drop it. */
  private ValueSink sink;

  /** Request id of the last identified answer, to recognize a duplicate of it. */
  private String lastAnsweredId;

  /** A refusal that a close of the connection right behind it confirms, null if there is none. */
  private Refusal refusal;

  /** Whether proof of the lines received so far was asked for; it is asked for only once. */
  private boolean proofRequested;

  /** Whether the connection has failed, as opposed to an orderly close. */
  private boolean failed;

  /** Whether it was closed because of invalid data. */
  private boolean protocolError;

  /** Why this node has closed it; until it has, the server does. */
  private CloseCause closeCause = CloseCause.BY_SERVER;

  private boolean closed;

  ServerConnection(
      long id,
      Pools<Attempt> pools,
      AttemptListener listener,
      ReplyStatistics statistics,
      Runnable onClosed) {
    this.id = id;
    this.statistics = statistics;
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
    if (attempt.refusalNeedsProof && !replies.isAligned() && !replies.hasUnanswered()) {
      // Its reply tells lines that came before the attempt from the attempt's own answer.
      replies.addNoOp();
      writeNoOp();
    }
    replies.addAttempt(attempt, attempt.command().request.id(), attempt.refusalNeedsProof);
    long millis = (attempt.deadlineNanos - attempt.writtenAt + 999_999) / 1_000_000;
    ChannelFuture written =
        channel.writeAndFlush(attempt.command().encode(channel.alloc(), millis));
    if (written.isDone()) {
      written(attempt, written.isSuccess());
    } else {
      written.addListener(done -> written(attempt, done.isSuccess()));
    }
  }

  private void writeNoOp() {
    channel.write(ByteBufUtil.writeAscii(channel.alloc(), NO_OP));
  }

  private void written(Attempt attempt, boolean complete) {
    attempt.fullyWritten = complete;
    if (complete) {
      listener.attemptWritten(attempt);
    } else {
      failed = true;
    }
  }

  /** Gives up the large value that is being received. */
  @Override
  public void close() {
    close(CloseCause.VALUE_GIVEN_UP);
  }

  /** Closes the connection, since the pool has no more use for it. */
  void retire() {
    close(CloseCause.RETIRED);
  }

  private void close(CloseCause cause) {
    if (closeCause == CloseCause.BY_SERVER) {
      closeCause = cause;
    }
    channel.close();
  }

  /** Returns whether an attempt is in flight here. */
  boolean hasInFlight(Attempt attempt) {
    return attempt == streamingAttempt || replies.isUnanswered(attempt);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    pools.dataReceived(System.nanoTime(), id);
    if (message instanceof ValuePart part) {
      handleValuePart(part);
    } else if (message instanceof NoOpReply) {
      handleNoOpReply();
    } else {
      MetaReply reply = (MetaReply) message;
      try {
        handleReply(reply);
      } finally {
        reply.release();
      }
    }
  }

  private void handleReply(MetaReply reply) {
    if (closed || protocolError) {
      return;
    }
    if (reply.id() == null) {
      handleUnidentified(reply);
    } else {
      handleIdentified(reply);
    }
  }

  /** Handles a line without an id, which need not be the answer to any command. */
  private void handleUnidentified(MetaReply line) {
    boolean aligned = replies.isAligned();
    ReplyQueue.Line<Attempt> use = replies.lineReceived(line);
    refusal = null;
    switch (use.use()) {
      case ANSWERED -> {
        answered(use.attempt(), line);
        if (replies.unidentifiedCount() >= MAX_UNIDENTIFIED) {
          pools.retireConnection(id);
        }
      }
      case UNPROVEN -> awaitProof(use.attempt(), line, aligned);
      case UNSOLICITED -> {
        recordUnsolicited();
        if (!replies.hasUnanswered() || replies.unidentifiedCount() > MAX_UNIDENTIFIED) {
          closeForProtocolError();
        }
      }
      case NO_OP -> {
        // A server that refuses no-ops; the next identified reply shows what the line answers.
      }
    }
  }

  /**
   * Waits for what shows whether a line answers an attempt: an identified reply, the close that
   * follows a refusal, or the reply to a no-op, which is sent if neither comes soon.
   */
  private void awaitProof(Attempt attempt, MetaReply line, boolean aligned) {
    if (aligned && line.result() == Outcome.Result.FULL) {
      refusal = new Refusal(attempt, line, System.nanoTime());
    }
    if (!proofRequested) {
      proofRequested = true;
      channel.eventLoop().schedule(this::requestProof, Refusal.CLOSE_NANOS, TimeUnit.NANOSECONDS);
    }
  }

  /** Sends no-ops, unless the attempt has its answer by now; nothing is written behind them. */
  private void requestProof() {
    if (closed || protocolError || !replies.hasUnprovenLine()) {
      proofRequested = false;
      return;
    }
    pools.retireConnection(id);
    for (int i = replies.addProvingNoOps(); i > 0; i--) {
      writeNoOp();
    }
    channel.flush();
  }

  private void handleNoOpReply() {
    if (closed || protocolError) {
      return;
    }
    ReplyQueue.Match<Attempt> match = replies.noOpReceived();
    if (match == null) {
      recordUnsolicited();
      closeForProtocolError();
    } else {
      handleEarlier(match);
    }
  }

  private void handleIdentified(MetaReply reply) {
    ReplyQueue.Match<Attempt> match = replies.identifiedReceived(reply.id());
    if (match == null && reply.id().equals(lastAnsweredId)) {
      // A duplicate answer is dropped. Attempts in flight may still be answered, but nothing more
      // is written to a peer that has lost track.
      pools.retireConnection(id);
      return;
    }
    if (match == null) {
      closeForProtocolError();
      return;
    }
    lastAnsweredId = reply.id();
    if (!handleEarlier(match)) {
      endUnanswered(match.attempt());
    } else if (match.attempt() != null && !reply.fits(match.attempt().command())) {
      endUnanswered(match.attempt());
      closeForProtocolError();
    } else if (match.attempt() != null && reply.followingBytes() > 0) {
      startStreaming(match.attempt(), reply);
    } else if (match.attempt() != null) {
      answered(match.attempt(), reply);
    }
  }

  /**
   * Settles the attempts before an identified reply. Closes the connection rather than serve one
   * request with another's answer if a reply is missing: no later one can be matched reliably.
   *
   * @return whether the connection goes on
   */
  private boolean handleEarlier(ReplyQueue.Match<Attempt> match) {
    refusal = null;
    if (match.unsolicited()) {
      recordUnsolicited();
      pools.retireConnection(id);
    }
    if (match.answerMissing()) {
      match.earlier().forEach(answer -> endUnanswered(answer.attempt()));
      closeForProtocolError();
      return false;
    }
    for (ReplyQueue.Answer<Attempt> answer : match.earlier()) {
      if (answer.line() == null) {
        recordUnproven();
        endUnanswered(answer.attempt());
      } else {
        statistics.recordProven();
        answered(answer.attempt(), answer.line());
      }
    }
    return true;
  }

  private void recordUnsolicited() {
    statistics.recordUnsolicited(System.nanoTime());
    listener.replyProblem("a cache server sent a reply that answers no request: " + this);
  }

  /** Describes the connection for the log, with the requests in flight on it. */
  @Override
  public String toString() {
    List<String> requestIds =
        replies.unanswered().stream().map(attempt -> attempt.command().request.id()).toList();
    return "connection %d to %s, in flight %s, last answered %s"
        .formatted(id, channel.remoteAddress(), requestIds, lastAnsweredId);
  }

  private void answered(Attempt attempt, MetaReply reply) {
    // Removed from the queue before, so that what the answer triggers sees the current state.
    boolean serverBusy = reply.result() == Outcome.Result.FULL;
    recordEnd(attempt, !attempt.isSettled(), serverBusy);
    listener.replyReceived(attempt, reply);
  }

  /** Ends an attempt that a server may have run, and whose answer can't be told. */
  private void endUnanswered(Attempt attempt) {
    if (attempt != null) {
      recordEnd(attempt, !attempt.isSettled(), false);
      listener.attemptEnded(attempt, Outcome.Result.SPOILT);
    }
  }

  private void recordEnd(Attempt attempt, boolean awaited, boolean serverBusy) {
    pools.attemptAnswered(
        System.nanoTime(), id, attempt.writtenAt, awaited, attempt.unrepeatable, serverBusy);
  }

  private void startStreaming(Attempt attempt, MetaReply head) {
    streamingAttempt = attempt;
    valueAwaited = !attempt.isSettled();
    pools.streamingStarted(System.nanoTime(), id, attempt.writtenAt);
    sink = listener.valueStarted(attempt, head, this);
  }

  private void handleValuePart(ValuePart part) {
    if (closed || protocolError || streamingAttempt == null) {
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
      Attempt attempt = streamingAttempt;
      streamingAttempt = null;
      recordEnd(attempt, valueAwaited, false);
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
    return replies.hasUnanswered();
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
    if (stall.readCompleted(incomplete, decoder.readCount(), now)) {
      statistics.recordStallEnd();
    }
    if (incomplete && streamingAttempt == null && !replies.hasUnanswered()) {
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
    close(CloseCause.INVALID_REPLY);
  }

  /**
   * Reports the attempts that wait for a reply that has begun and does not continue: the server may
   * pause, or never end it (a line without CRLF, a length beyond the value, a machine that vanished
   * halfway). They stay in flight until their deadlines, since the rest may still come. A large
   * value that nobody awaits is given up.
   */
  void checkStall(long now, long minStallNanos) {
    if (!isStalled(now, minStallNanos)) {
      return;
    }
    List<Attempt> waiting =
        replies.unanswered().stream().filter(attempt -> !attempt.isSettled()).toList();
    if (streamingAttempt != null && sink == null && waiting.isEmpty()) {
      close();
      return;
    }
    if (streamingAttempt == null && stall.markStalled()) {
      pools.answerStalled(id);
      statistics.recordStall();
      listener.replyProblem("a reply has begun and makes no progress: " + this);
    }
    long pausedNanos = stall.pausedNanos(now);
    waiting.forEach(attempt -> listener.replyStalled(attempt, pausedNanos));
  }

  private boolean isStalled(long now, long minStallNanos) {
    if (closed || protocolError || !stall.exceeds(now, minStallNanos)) {
      return false;
    }
    if (streamingAttempt == null) {
      // The rest may be in the socket: this node may have been held up itself.
      readNow();
    }
    return !closed && !protocolError && stall.exceeds(now, minStallNanos);
  }

  /**
   * Begins the answer to an attempt with the head of its large value, if that is all that has come:
   * the first bytes of a large value have to be in time, not the last. Only from a task of the
   * event loop.
   */
  void passHeldHead(Attempt attempt) throws Exception {
    boolean itsHead = attempt.command().request.id().equals(decoder.heldHeadId());
    if (!closed && !protocolError && itsHead && hasInFlight(attempt)) {
      decoder.passHeldHead(channel.pipeline().context(decoder));
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
    recordClose();
    confirmRefusalByClose();
    Outcome.Result result = protocolError ? Outcome.Result.SPOILT : Outcome.Result.RESET;
    for (Attempt attempt : replies.removeUnanswered()) {
      // Only a command whose last byte was not passed to the socket has certainly not run.
      listener.attemptEnded(attempt, attempt.fullyWritten ? result : Outcome.Result.CONNECT_FAILED);
    }
    pools.connectionClosed(System.nanoTime(), id);
    onClosed.run();
  }

  private void recordClose() {
    statistics.recordClose(closeCause);
    if (replies.hasUnanswered()) {
      listener.connectionClosed("closed with requests in flight (" + closeCause + "): " + this);
    }
  }

  /**
   * Settles a refused attempt if the server has closed the connection right behind the line, as one
   * does that has too many connections. Not once servers have sent lines that answer nothing: one
   * of these and the end of a connection look the same.
   */
  private void confirmRefusalByClose() {
    if (!replies.hasUnprovenLine()) {
      return;
    }
    long now = System.nanoTime();
    if (refusal != null
        && !failed
        && !protocolError
        && refusal.isFollowedByCloseAt(now)
        && !statistics.isUnsolicitedLikely(now)) {
      statistics.recordClosed();
      replies.removeOldest();
      answered(refusal.attempt(), refusal.line());
    } else {
      recordUnproven();
    }
  }

  private void recordUnproven() {
    statistics.recordUnproven();
    listener.replyProblem(
        "an answer without an id is not proven, its request may have run: " + this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof DecoderException) {
      closeForProtocolError();
      return;
    }
    failed = true;
    if (!(cause instanceof IOException)) {
      listener.report("server connection", cause);
    }
    ctx.close();
  }
}
