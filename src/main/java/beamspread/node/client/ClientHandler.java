package beamspread.node.client;

import beamspread.loop.SocketPolling;
import beamspread.node.wire.MetaCommand;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Handles one client connection: accepts its commands and writes the answers in the same order. An
 * idle connection is closed only after a last read of its socket has found nothing: a request that
 * is in the socket then was sent while the connection was open, and would be lost.
 */
public final class ClientHandler extends ChannelInboundHandlerAdapter {
  /**
   * Maximum open requests of one connection, the same as a cache server accepts on one. Further
   * requests of a client that sends without waiting for answers are refused.
   */
  private static final int MAX_OPEN_REQUESTS = 32;

  /** Pending answers of one connection at which no more commands are decoded. */
  private static final int MAX_PENDING_ANSWERS = 256;

  /** Commands of one connection that are handled in one turn of the event loop. */
  private static final int MAX_COMMANDS_PER_TURN = 64;

  /** Undecoded bytes behind that many commands above which the client is rejected. */
  private static final int MAX_HELD_BYTES = 1 << 16;

  /** A socket read within this time is not read again; about one turn of a lightly loaded loop. */
  private static final long RECENT_READ_NANOS = 2_000_000L;

  /** Time without a read by the client after which it counts as one that does not read. */
  private static final long READ_STALL_NANOS = 300_000_000L;

  /** Answer to a client whose undecoded input takes too much memory. */
  private static final String TOO_MANY_COMMANDS = "SERVER_ERROR too many commands";

  /** Answer to a client for which there is no room. */
  private static final String BUSY_LINE = "SERVER_ERROR busy\r\n";

  /** How long before a client's deadline an answer that is ready for it is no more held back. */
  private static final long HELD_ANSWER_MARGIN_NANOS = 20_000_000L;

  /** Maximum reads of a socket to empty it, or to find a close behind the data. */
  private static final int MAX_READS_PER_CHECK = 64;

  /** Time within which a command that was received in part has to be complete, in a drain. */
  private static final long DRAIN_COMMAND_TIMEOUT_NANOS = 300_000_000L;

  /**
   * Consecutive invalid commands after which the client is rejected. Stops a peer that sends
   * another protocol at full speed; a client with a bug in some requests stays connected.
   */
  private static final int MAX_CONSECUTIVE_INVALID = 16;

  private final RequestHandler requestHandler;
  private final ClientConnections connections;
  private final MetaCommand.Decoder decoder;
  private final ArrayDeque<AnswerSlot> answerSlots = new ArrayDeque<>();
  private Channel channel;

  /**
   * When the connection was opened or became idle, on {@link ClientConnections#idleClockNanos()}.
   */
  private long idleSinceNanos;

  /** When lingering or closing began. */
  private long closingSinceNanos;

  /** When the command that is received in part began; 0 if there is none. */
  private long partialSinceNanos;

  /** When data last came, on {@link ClientConnections#idleClockNanos()}. */
  private long lastDataNanos;

  /** The decoder's count of reads with data when data last came. */
  private long readCountAtLastData;

  /** Until when an answer to a request of this client can be in time. */
  private long lastDeadlineNanos;

  private boolean hasDeadline;

  /** When the client last read queued data; 0 while the channel is writable. */
  private long stalledSinceNanos;

  /** The channel's bytes before writable at the last check. */
  private long lastBytesBeforeWritable;

  /** Bytes of answers that wait for those before them. */
  private int waitingAnswerBytes;

  /** Size of the unread answers as last recorded, and when it last was 0 or fell. */
  private int recordedUnreadBytes;

  private long lastAnswerProgressNanos;

  /** Invalid commands since the last valid one. */
  private int consecutiveInvalid;

  /** The earliest time at which the client can have connected; 0 if the loop was not late. */
  private final long earliestConnectNanos;

  private final long acceptedInLoopTurn;

  /** Whether any command was received. */
  private boolean hasSentCommand;

  /** When the socket was last read until empty. */
  private long lastReadNanos = System.nanoTime();

  /** Whether the socket is being read now. */
  private boolean reading;

  /** Whether no input is taken now: too much is pending, or nothing may be taken yet. */
  private boolean inputPaused;

  private final UnreadInput unreadInput = new UnreadInput();

  /** Whether kept input is being decoded again, without a read of the socket. */
  private boolean resuming;

  /** Whether a command was received since {@link #isQuietAfterRead()} began. */
  private boolean commandReceived;

  /** The turn of the event loop in which commands were last received, and how many were. */
  private long commandTurn;

  private int commandsInTurn;

  /** Whether the socket is read for a decision now, whatever the turn allows. */
  private boolean lookingAhead;

  /** Whether decoding resumes in the next turn of the event loop. */
  private boolean resumeScheduled;

  /** Whether the connection closes once all answers are written, unless a command arrives. */
  private boolean closeScheduled;

  /** Whether no more commands are accepted: the last answer is written or queued. */
  private boolean closing;

  /** Whether the client was rejected because of the amount of its input. */
  private boolean rejectedForInput;

  /** Whether all answers are written and the client has yet to close. */
  private boolean lingering;

  /** Why this node has closed the connection; until it has, the client does. */
  private ClientCloseCause closeCause = ClientCloseCause.BY_CLIENT;

  /** Creates the handler of one connection; it follows the decoder in the pipeline. */
  public ClientHandler(
      RequestHandler requestHandler, ClientConnections connections, MetaCommand.Decoder decoder) {
    this.requestHandler = requestHandler;
    this.connections = connections;
    this.decoder = decoder;
    decoder.setInputMemoryListener(bytes -> connections.inputMemory().update(this, bytes));
    idleSinceNanos = connections.idleClockNanos();
    lastDataNanos = idleSinceNanos;
    long now = System.nanoTime();
    long maxUnreadNanos = connections.maxUnreadNanos(now);
    earliestConnectNanos = maxUnreadNanos == 0 ? 0 : now - maxUnreadNanos;
    acceptedInLoopTurn = connections.loopTurn();
  }

  /** Is notified of the progress of an answer that is written in parts. */
  public interface StreamListener {
    /**
     * Called when all answers before this one are written while others wait behind it, so that its
     * beginning is written once all parts were given. Called again when another answer can wait
     * less.
     *
     * @param nanos how long the answers behind it can wait
     */
    void heldUntilWhole(long nanos);

    /** Called when all answers before this one are written, and its beginning is. */
    void slotReached();

    /** Called when this many bytes of the parts were written to the socket. */
    void bytesWritten(int bytes);

    /** Called when the client has disconnected; no call follows. */
    void clientGone();
  }

  /** The position of one answer in the order of a connection's answers. */
  public final class AnswerSlot {
    private RequestHandler.AcceptedRequest request;

    /** Queued parts; null for an answer that is given whole. */
    private ArrayDeque<ByteBuf> parts;

    /** The listener of an answer in parts; null if there is none or the answer is over. */
    private StreamListener streamListener;

    /** Whether the beginning of this answer is written and its parts follow directly. */
    private boolean streaming;

    /** Whether all parts of the answer were given, so that it can't break off any more. */
    private boolean complete;

    /** Until when the answer is in time; 0 if that is not known. */
    private long deadlineNanos;

    /** The answer, or its first line, until it is written; null for none. */
    private ByteBuf pendingAnswer;

    /** Whether the connection closes after this answer. */
    private boolean closesConnection;

    /**
     * Returns whether the client has closed its connection, after reading the socket if necessary.
     * Avoids work for a client that has left: a close is noticed only by a read, which is late
     * after a stall of the loop and does not happen while reading is off.
     */
    public boolean clientDisconnected() {
      return detectDisconnect();
    }

    /** Returns whether the client was rejected because of the amount of its input. */
    public boolean clientRejected() {
      return rejectedForInput;
    }

    /** Sets until when the answer is in time, on the clock of {@link System#nanoTime()}. */
    public void setDeadline(long deadlineNanos) {
      lastDeadlineNanos = hasDeadline ? Math.max(lastDeadlineNanos, deadlineNanos) : deadlineNanos;
      hasDeadline = true;
      this.deadlineNanos = deadlineNanos;
      shortenHold();
    }

    /** Returns the allocator for the answer's buffers. */
    public ByteBufAllocator allocator() {
      return channel.alloc();
    }

    /** Answers with one line. */
    public void answerLine(String text) {
      ByteBuf line = channel.alloc().buffer(text.length() + 2);
      ByteBufUtil.writeAscii(line, text);
      answer(line.writeShort(0x0D0A));
    }

    /** Answers with these bytes and releases them. */
    public void answer(ByteBuf bytes) {
      if (acceptsAnswer(bytes)) {
        setAnswer(bytes);
      }
    }

    /** Returns whether the answer can still be given; otherwise releases the bytes. */
    private boolean acceptsAnswer(ByteBuf bytes) {
      boolean accepted = channel.isActive() && pendingAnswer == null && answerSlots.contains(this);
      if (!accepted) {
        bytes.release();
      }
      return accepted;
    }

    private void setAnswer(ByteBuf bytes) {
      pendingAnswer = bytes;
      waitingAnswerBytes += bytes.readableBytes();
      if (answerSlots.peek() == this) {
        writeReadyAnswers();
      } else {
        recordUnreadAnswers();
      }
    }

    /**
     * Begins an answer in parts with its first line.
     *
     * @return whether the client is still connected; if not, the listener is never called
     */
    public boolean beginStream(ByteBuf head, StreamListener listener) {
      if (!acceptsAnswer(head)) {
        return false;
      }
      streamListener = listener;
      parts = new ArrayDeque<>();
      setAnswer(head);
      return true;
    }

    /** Adds a part to the answer and releases it once it is written. */
    public void streamPart(ByteBuf bytes) {
      if (streamListener == null) {
        bytes.release();
      } else if (streaming) {
        writePart(bytes);
        channel.flush();
      } else {
        parts.add(bytes);
      }
    }

    private void writePart(ByteBuf bytes) {
      int size = bytes.readableBytes();
      channel
          .write(bytes)
          .addListener(
              written -> {
                if (written.isSuccess() && streamListener != null) {
                  streamListener.bytesWritten(size);
                }
              });
    }

    /** Records that all parts of the answer were given; their end is written afterwards. */
    public void allPartsGiven() {
      if (streamListener == null) {
        return;
      }
      complete = true;
      if (streaming) {
        updateAutoRead();
        readPausedInput();
      } else if (answerSlots.peek() == this) {
        writeReadyAnswers();
      }
    }

    /** Returns whether it is an answer in parts that may break off and has others behind it. */
    private boolean mustWait() {
      boolean mayBreakOff = parts != null && !complete;
      return mayBreakOff && (answerSlots.size() > 1 || mayHoldCommands());
    }

    /** Returns whether its turn has come, and it waits to become whole. */
    private boolean isHeldUntilWhole() {
      return answerSlots.peek() == this && !streaming && pendingAnswer != null && mustWait();
    }

    /** Ends the answer after all its parts were written. */
    public void finishStream() {
      streamListener = null;
      channel.write(Unpooled.copyShort(0x0D0A), channel.voidPromise());
      answerSlots.poll();
      writeReadyAnswers();
    }

    /** Aborts the answer: sends the line in its place, or closes the connection if it has begun. */
    public void abortStream(String line) {
      streamListener = null;
      if (streaming) {
        // Within a value the client would read a line as part of the value.
        close(ClientCloseCause.VALUE_INCOMPLETE);
        return;
      }
      releaseBuffers();
      parts = null;
      answerLine(line);
    }

    /** Returns whether its request may have run and none of its answer was written. */
    private boolean wouldBeLost() {
      return !streaming && request != null && request.mayHaveRun();
    }

    private void startStreaming() {
      streaming = true;
      streamListener.slotReached();
      for (ByteBuf part = parts.poll(); part != null; part = parts.poll()) {
        writePart(part);
      }
    }

    private void releaseBuffers() {
      if (pendingAnswer != null) {
        waitingAnswerBytes -= pendingAnswer.readableBytes();
        pendingAnswer.release();
        pendingAnswer = null;
      }
      if (parts != null) {
        parts.forEach(ByteBuf::release);
        parts.clear();
      }
    }
  }

  /** Writes all answers that are complete and whose predecessors are written. */
  private void writeReadyAnswers() {
    for (AnswerSlot slot = answerSlots.peek();
        slot != null && slot.pendingAnswer != null;
        slot = answerSlots.peek()) {
      if (slot.mustWait()) {
        slot.streamListener.heldUntilWhole(nanosUntilFirstDue());
        break;
      }
      waitingAnswerBytes -= slot.pendingAnswer.readableBytes();
      channel.write(slot.pendingAnswer, channel.voidPromise());
      slot.pendingAnswer = null;
      if (slot.parts != null) {
        slot.startStreaming();
        break;
      }
      answerSlots.poll();
      if (slot.closesConnection) {
        startLingering();
      }
    }
    if (!reading) {
      // Otherwise once for all commands of this read.
      flush();
    }
    updateAutoRead();
    markUnused();
  }

  /** Returns whether commands that were read may wait to be decoded. */
  private boolean mayHoldCommands() {
    return decoder.isDecoding() || decoder.heldBytes() > 0;
  }

  /**
   * Returns how long the answers that are owed can wait: until shortly before the first deadline.
   * Those whose deadline has passed have waited for answers before them already.
   */
  private long nanosUntilFirstDue() {
    long now = System.nanoTime();
    long first = Long.MAX_VALUE;
    for (AnswerSlot slot : answerSlots) {
      long left = slot.deadlineNanos - now;
      if (slot.deadlineNanos != 0 && left > 0) {
        first = Math.min(first, Math.max(0, left - HELD_ANSWER_MARGIN_NANOS));
      }
    }
    return first;
  }

  /** Passes a new deadline on to the value that is held before it, if there is one. */
  private void shortenHold() {
    AnswerSlot first = answerSlots.peek();
    if (first != null && first.isHeldUntilWhole()) {
      first.streamListener.heldUntilWhole(nanosUntilFirstDue());
    }
  }

  /** Returns whether an answer that may break off is being written, so that no command is taken. */
  private boolean isPassingOnPartialValue() {
    AnswerSlot first = answerSlots.peek();
    return first != null && first.streaming && !first.complete;
  }

  private void flush() {
    channel.flush();
    recordUnreadAnswers();
  }

  /** Returns the size of the answers that the socket has not accepted, relayed values aside. */
  int unreadAnswerBytes() {
    AnswerSlot first = answerSlots.peek();
    boolean relaying = first != null && first.streaming;
    ChannelOutboundBuffer unwritten = relaying ? null : channel.unsafe().outboundBuffer();
    long unwrittenBytes = unwritten == null ? 0 : unwritten.totalPendingWriteBytes();
    return channel.isActive()
        ? (int) Math.min(Integer.MAX_VALUE, waitingAnswerBytes + unwrittenBytes)
        : 0;
  }

  private void recordUnreadAnswers() {
    int bytes = unreadAnswerBytes();
    if (bytes == 0 && recordedUnreadBytes == 0) {
      return;
    }
    // Answers that wait for another one before them are not yet the client's to read.
    boolean nothingToRead = !hasUnwrittenAnswers();
    if (recordedUnreadBytes == 0 || bytes < recordedUnreadBytes || nothingToRead) {
      lastAnswerProgressNanos = connections.idleClockNanos();
    }
    recordedUnreadBytes = bytes;
    connections.answerMemory().update(this, bytes);
  }

  /** Returns whether the client has unread answers and has read none of them for some time. */
  boolean isReadStalled() {
    return connections.idleClockNanos() - lastAnswerProgressNanos > READ_STALL_NANOS;
  }

  /** Closes the connection, because its unread answers take memory that others need. */
  void closeForUnreadAnswers() {
    AnswerSlot first = answerSlots.peek();
    if (first != null && first.isHeldUntilWhole()) {
      // It is refused now, and the answers behind it are written.
      first.streamListener.heldUntilWhole(0);
      return;
    }
    close(ClientCloseCause.ANSWERS_UNREAD);
  }

  /** Marks the connection as idle if it is between requests, or as waiting for more data. */
  private void markUnused() {
    if (isQuiet()) {
      idleSinceNanos = connections.idleClockNanos();
      connections.markIdle(this);
    } else if (isPartial()) {
      connections.markPartial(this);
    }
  }

  /** Returns whether nothing is owed but the rest of a command, by the client. */
  private boolean isPartial() {
    return answerSlots.isEmpty() && decoder.isIncomplete() && !closing;
  }

  /** Returns whether all commands are answered and no command was received in part. */
  private boolean isQuiet() {
    return answerSlots.isEmpty() && !decoder.isIncomplete() && !closing;
  }

  /**
   * Reads the socket and returns whether the connection is still quiet. A client that sent a
   * command during a stall of this node must not be closed as idle.
   */
  boolean isQuietAfterRead() {
    commandReceived = false;
    readAvailable();
    return !commandReceived && isQuiet();
  }

  /**
   * Reads the socket and returns whether no request uses the connection, all answers are handed to
   * the operating system, and no more of a command came.
   */
  boolean isUnusedAfterRead() {
    long readCountBefore = decoder.readCount();
    boolean quiet = isQuietAfterRead();
    boolean unused = quiet || (isPartial() && decoder.readCount() == readCountBefore);
    return unused && !hasUnwrittenAnswers();
  }

  private boolean hasUnwrittenAnswers() {
    ChannelOutboundBuffer unwritten = channel.unsafe().outboundBuffer();
    return unwritten != null && unwritten.totalPendingWriteBytes() > 0;
  }

  private boolean canRead() {
    return channel.isActive()
        && !isPassingOnPartialValue()
        && decoder.heldBytes() <= MAX_HELD_BYTES;
  }

  private boolean detectDisconnect() {
    long nanosSinceRead = System.nanoTime() - lastReadNanos;
    if (!reading && nanosSinceRead > RECENT_READ_NANOS) {
      readAvailable();
      rejectIfTooMuchHeld();
    }
    return !channel.isActive();
  }

  /**
   * Reads the socket until it is empty, or until a bound. Each read returns at least one piece of
   * data, and a close follows the last.
   */
  private void readAvailable() {
    lookingAhead = true;
    updateAutoRead();
    long piecesBefore = -1;
    for (int i = 0;
        i < MAX_READS_PER_CHECK && decoder.readCount() > piecesBefore && canRead();
        i++) {
      piecesBefore = decoder.readCount();
      SocketPolling.readNow(channel);
    }
    lookingAhead = false;
    updateAutoRead();
  }

  /**
   * Shuts down the output after the last answer and leaves the client time to read it: closing
   * while the client still sends would reset the connection, and the client could lose the error
   * line. The decoder discards up to a bound what the client sends; beyond that it stays in the
   * socket buffer.
   */
  private void startLingering() {
    if (lingering) {
      return;
    }
    closing = true;
    lingering = true;
    setCloseCause(ClientCloseCause.REJECTED);
    closingSinceNanos = System.nanoTime();
    connections.markLingering(this);
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            written -> {
              if (written.isSuccess() && channel instanceof DuplexChannel duplex) {
                duplex.shutdownOutput();
              } else {
                channel.close();
              }
            });
  }

  private boolean hasTooManyPending() {
    return !closing && answerSlots.size() >= MAX_PENDING_ANSWERS;
  }

  private boolean hasUsedUpTurn() {
    return !closing
        && !lookingAhead
        && commandsInTurn >= MAX_COMMANDS_PER_TURN
        && commandTurn == connections.loopTurn();
  }

  private void countCommand() {
    long turn = connections.loopTurn();
    commandsInTurn = commandTurn == turn ? commandsInTurn + 1 : 1;
    commandTurn = turn;
  }

  private void resumeInNextTurn() {
    if (!resumeScheduled) {
      resumeScheduled = true;
      // Timers that are set now run in the next turn at the earliest.
      channel
          .eventLoop()
          .schedule(
              () -> {
                resumeScheduled = false;
                updateAutoRead();
              },
              0,
              TimeUnit.NANOSECONDS);
    }
  }

  /**
   * Turns reading on or off: the decoder holds commands while too many answers are pending and when
   * the connection has had its turn of the event loop, and the socket is not read while the client
   * does not read its answers. A close that happens meanwhile is found by the periodic check or by
   * a failing write, so that a queued request is not sent long after its client has left. Nothing
   * is taken either while a value is passed on that may break off, since the connection would end
   * with it.
   */
  private void updateAutoRead() {
    boolean usedUpTurn = hasUsedUpTurn();
    boolean partialValue = !closing && isPassingOnPartialValue();
    boolean holds = usedUpTurn || hasTooManyPending() || partialValue;
    if (usedUpTurn) {
      resumeInNextTurn();
    }
    boolean canTakeMore = closing ? decoder.mayDiscard() : channel.isWritable();
    channel.config().setAutoRead(canTakeMore && !holds);
    boolean wasPaused = inputPaused;
    inputPaused = !closing && (holds || !canTakeMore);
    if (inputPaused) {
      unreadInput.paused(System.nanoTime());
    }
    boolean inputKept = decoder.setHolding(holds);
    if ((inputKept && !holds) || (wasPaused && !inputPaused)) {
      // Runs as a separate task, since the caller may be the decoder.
      channel.eventLoop().execute(this::resumeInput);
    }
  }

  /** Decodes the input that was kept, and looks whether more of it has come to the socket. */
  private void resumeInput() {
    resuming = true;
    channel.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
    channel.pipeline().fireChannelReadComplete();
    resuming = false;
    if (!inputPaused && !closing) {
      readPausedInput();
    }
  }

  /** Reads once, to learn whether commands that came during a pause are still in the socket. */
  private void readPausedInput() {
    long readsBefore = decoder.readCount();
    SocketPolling.readNow(channel);
    if (decoder.readCount() == readsBefore) {
      recordCaughtUp();
    }
  }

  private void recordCaughtUp() {
    if (decoder.heldBytes() == 0) {
      unreadInput.caughtUp();
    }
  }

  /** Checks whether the client has closed the connection while automatic reading is off. */
  private void detectCloseWhilePaused() {
    if (channel.config().isAutoRead() || (!closing && !hasTooManyPending())) {
      return;
    }
    if (!closing && !channel.isWritable()) {
      return;
    }
    // Each read returns one piece of data only, and the close follows the last.
    for (int heldBefore = -1; channel.isActive() && decoder.heldBytes() > heldBefore; ) {
      heldBefore = decoder.heldBytes();
      SocketPolling.readNow(channel);
      if (heldBefore > MAX_HELD_BYTES) {
        break;
      }
    }
    rejectIfTooMuchHeld();
  }

  /**
   * Rejects a client of which so much is held that its close can't be found: the close may lie
   * behind even more data, all of which would have to be held too.
   */
  private void rejectIfTooMuchHeld() {
    if (channel.isActive() && hasTooManyPending() && decoder.heldBytes() > MAX_HELD_BYTES) {
      rejectForInput();
    }
  }

  /**
   * Rejects the client because of the amount of its input. Its close may never be read, so none of
   * its requests begins an attempt any more.
   */
  private void rejectForInput() {
    rejectAndClose(TOO_MANY_COMMANDS);
    rejectedForInput = true;
    for (AnswerSlot slot : List.copyOf(answerSlots)) {
      if (slot.request != null) {
        slot.request.clientRejected();
      }
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    if (!connections.register(this)) {
      refuse();
    } else if (connections.isDraining()) {
      drain();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    reading = true;
    MetaCommand command = (MetaCommand) message;
    partialSinceNanos = 0;
    hasSentCommand = true;
    commandReceived = true;
    if (closing) {
      command.release();
      return;
    }
    connections.markBusy(this);
    AnswerSlot slot = new AnswerSlot();
    answerSlots.add(slot);
    countCommand();
    if (hasTooManyPending() || hasUsedUpTurn()) {
      updateAutoRead();
    }
    if (command.immediateReply == null
        && answerSlots.size() <= MAX_OPEN_REQUESTS
        && connections.canAnswerInTime(command.request.budget())) {
      consecutiveInvalid = 0;
      slot.request = requestHandler.accept(command, slot, maxUnreadNanos());
      return;
    }
    if (command.request != null) {
      requestHandler.requestRefused(command.request.serviceClass());
    }
    boolean invalid = command.request == null && !command.immediateReply.equals("MN");
    consecutiveInvalid = invalid ? consecutiveInvalid + 1 : 0;
    command.release();
    answerWithoutRequest(
        slot,
        command.immediateReply,
        command.framingLost || consecutiveInvalid >= MAX_CONSECUTIVE_INVALID);
  }

  /** Returns how long a request that is read now can have been unread at most. */
  private long maxUnreadNanos() {
    long now = System.nanoTime();
    long maxUnread = connections.maxUnreadNanos(now);
    // A connection that was accepted after a stall is first read in the next turn.
    boolean justAccepted =
        earliestConnectNanos != 0 && connections.loopTurn() == acceptedInLoopTurn + 1;
    maxUnread = Math.max(maxUnread, unreadInput.maxAgeNanos(now));
    return justAccepted ? Math.max(maxUnread, now - earliestConnectNanos) : maxUnread;
  }

  private void answerWithoutRequest(AnswerSlot slot, String reply, boolean closesConnection) {
    slot.closesConnection = closesConnection;
    closing |= closesConnection;
    if (closesConnection) {
      decoder.discardInput();
    }
    slot.answerLine(reply == null ? "SERVER_ERROR busy" : reply);
  }

  /** Rejects the client and drops its input, because of the memory that the input takes. */
  void turnAway() {
    rejectForInput();
    if (!decoder.isDecoding()) {
      channel.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
    }
  }

  /** Sends a last line after all pending answers, and then closes the connection. */
  private void rejectAndClose(String reason) {
    AnswerSlot slot = new AnswerSlot();
    answerSlots.add(slot);
    connections.markBusy(this);
    answerWithoutRequest(slot, reason, true);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    reading = false;
    flush();
    if (!resuming && !decoder.mayHaveMore()) {
      lastReadNanos = System.nanoTime();
      if (!inputPaused) {
        recordCaughtUp();
      }
    }
    if (decoder.isIncomplete() && decoder.heldBytes() == 0) {
      partialSinceNanos = partialSinceNanos == 0 ? System.nanoTime() : partialSinceNanos;
      connections.markBusy(this);
    }
    if (decoder.readCount() != readCountAtLastData) {
      readCountAtLastData = decoder.readCount();
      lastDataNanos = connections.idleClockNanos();
      if (isPartial()) {
        connections.markPartial(this);
      }
    }
    continueDrain();
    updateAutoRead();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    stalledSinceNanos = channel.isWritable() ? 0 : System.nanoTime();
    lastBytesBeforeWritable = channel.bytesBeforeWritable();
    recordUnreadAnswers();
    updateAutoRead();
  }

  private void close(ClientCloseCause cause) {
    setCloseCause(cause);
    channel.close();
  }

  private void setCloseCause(ClientCloseCause cause) {
    if (closeCause == ClientCloseCause.BY_CLIENT) {
      closeCause = cause;
    }
  }

  private void recordClose() {
    connections.recordClose(closeCause);
    if (closeCause != ClientCloseCause.BY_CLIENT && !answerSlots.isEmpty()) {
      long lostAnswers = answerSlots.stream().filter(AnswerSlot::wouldBeLost).count();
      connections.recordLostAnswers(closeCause, lostAnswers);
      requestHandler.connectionClosed(
          "connection of client %s closed with %d answers owed (%s)"
              .formatted(channel.remoteAddress(), answerSlots.size(), closeCause));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    recordClose();
    connections.onClosed(this);
    connections.inputMemory().update(this, 0);
    connections.answerMemory().update(this, 0);
    for (AnswerSlot slot = answerSlots.poll(); slot != null; slot = answerSlots.poll()) {
      slot.releaseBuffers();
      if (slot.streamListener != null) {
        StreamListener listener = slot.streamListener;
        slot.streamListener = null;
        listener.clientGone();
      }
      if (slot.request != null) {
        slot.request.clientGone();
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      requestHandler.reportError("client connection", cause);
      setCloseCause(ClientCloseCause.ERROR);
    }
    if (cause instanceof OutOfMemoryError) {
      connections.inputMemory().turnAwayLargest();
    }
    ctx.close();
  }

  /**
   * Sends the error line and closes the connection, for which there is no descriptor. What the
   * client has sent until then is discarded, so that the close is no reset and the line arrives.
   */
  private void refuse() {
    closing = true;
    setCloseCause(ClientCloseCause.REFUSED);
    decoder.discardInput();
    writeBusyLine();
    // As a separate task, since the caller is an event of this channel.
    channel.eventLoop().execute(this::closeLingering);
  }

  private void writeBusyLine() {
    ByteBuf line = channel.alloc().buffer();
    ByteBufUtil.writeAscii(line, BUSY_LINE);
    channel.writeAndFlush(line, channel.voidPromise());
  }

  /**
   * Closes the connection at once to make room; the caller has made sure that no request uses it. A
   * client within a command gets an error line.
   */
  void evict() {
    if (isPartial()) {
      writeBusyLine();
    }
    closing = true;
    close(ClientCloseCause.EVICTED);
  }

  /** Returns when data last came, on the idle clock. */
  long lastDataNanos() {
    return lastDataNanos;
  }

  /** Returns when the connection was opened or became idle, on the idle clock. */
  long idleSinceNanos() {
    return idleSinceNanos;
  }

  /** Closes a lingering connection after discarding what the client has sent. */
  void closeLingering() {
    // Closing a socket with unread data resets the connection, and the client could lose the error
    // line.
    readAvailable();
    channel.close();
  }

  /**
   * Closes the connection once all answers are written, unless a last read finds another command.
   * Runs as a separate task, since an answer is often given while the next command is being read.
   */
  void closeAfterAnswers() {
    if (!closeScheduled) {
      closeScheduled = true;
      closingSinceNanos = System.nanoTime();
      channel.eventLoop().execute(this::closeAfterWrites);
    }
  }

  private void closeAfterWrites() {
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(written -> channel.eventLoop().execute(this::closeIfQuiet));
  }

  private void closeIfQuiet() {
    boolean quiet = isQuietAfterRead();
    closeScheduled = false;
    if (quiet) {
      closing = true;
      close(connections.isDraining() ? ClientCloseCause.DRAINED : ClientCloseCause.IDLE);
    } else {
      continueDrain();
    }
  }

  /**
   * Closes the connection now if it is quiet; otherwise this is called again later. Until then the
   * socket is read: a request that is received completely has to be answered, and a disconnect has
   * to be noticed. Requests that are due after this process ends are refused.
   */
  void drain() {
    if (!lingering && !closing && isQuiet()) {
      closeAfterAnswers();
    }
  }

  private void continueDrain() {
    if (connections.isDraining()) {
      drain();
    }
  }

  /**
   * Closes a connection that is silent, idle, stopped within a command, not read by the client, or
   * rejected, once the respective time limit has passed. Otherwise it would hold memory and a
   * descriptor indefinitely.
   */
  void closeIfExpired(long now) {
    ClientConnections.Limits limits = connections.limits();
    detectCloseWhilePaused();
    if (!channel.isActive()) {
      return;
    }
    recordUnreadAnswers();
    if (stalledSinceNanos != 0 && channel.bytesBeforeWritable() < lastBytesBeforeWritable) {
      // The client reads, if slowly.
      stalledSinceNanos = now;
    }
    lastBytesBeforeWritable = channel.bytesBeforeWritable();
    if (partialSinceNanos != 0 && isPassingOnPartialValue()) {
      // The rest of the command is not read meanwhile.
      partialSinceNanos = now;
    }
    boolean mayBeInTime = hasDeadline && now - lastDeadlineNanos < 0;
    if (stalledSinceNanos != 0
        && !mayBeInTime
        && now - stalledSinceNanos > limits.stallTimeoutNanos()) {
      // The client may have read while the event loop was stalled.
      SocketPolling.writeNow(channel);
      if (stalledSinceNanos != 0) {
        close(ClientCloseCause.ANSWERS_UNREAD);
      }
    } else if (lingering) {
      if (now - closingSinceNanos > limits.lingerTimeoutNanos()) {
        closeLingering();
      }
    } else if (closeScheduled) {
      // Open requests have deadlines; written answers that the client does not read have none.
      if (now - closingSinceNanos > limits.stallTimeoutNanos() && isQuietAfterRead()) {
        close(ClientCloseCause.ANSWERS_UNREAD);
      }
    } else if (partialSinceNanos != 0) {
      long commandTimeoutNanos =
          connections.isDraining()
              ? Math.min(DRAIN_COMMAND_TIMEOUT_NANOS, limits.commandTimeoutNanos())
              : limits.commandTimeoutNanos();
      if (now - partialSinceNanos > commandTimeoutNanos) {
        rejectIfStillPartial();
      }
    } else if (isQuiet()
        && connections.idleClockNanos() - idleSinceNanos
            > (hasSentCommand ? connections.idleTimeoutNanos() : limits.commandTimeoutNanos())) {
      closeAfterAnswers();
    }
  }

  /** Rejects the client if its command is still incomplete after a read of the socket. */
  private void rejectIfStillPartial() {
    long partialSinceBefore = partialSinceNanos;
    readAvailable();
    if (partialSinceNanos == partialSinceBefore && decoder.isIncomplete() && channel.isActive()) {
      rejectAndClose("CLIENT_ERROR command not finished");
    }
  }
}
