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
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.util.ArrayDeque;

/**
 * A client's connection: takes its commands and gives the answers in their order. It ends one
 * between requests only once a look at its socket has found nothing more: what lies there was sent
 * to a node that still listened, and would be lost.
 */
public final class ClientHandler extends ChannelInboundHandlerAdapter {
  /**
   * Requests that one connection may have open: as many as a cache server takes on one. Guards
   * against a client that sends more than it waits for; what goes beyond is refused, truthfully.
   */
  private static final int MAX_OPEN = 32;

  /** Answers that one connection may be owed before no more of its commands are taken. */
  private static final int MAX_OWED = 256;

  /** Bytes that wait unread behind so many owed answers before the client is turned away. */
  private static final int MAX_HELD = 1 << 16;

  /** What was read so lately is not looked at again: the time of a turn with little to do. */
  private static final long JUST_READ_NANOS = 2_000_000L;

  /** Pieces that one look reads to find the close behind them. */
  private static final int LOOK_PIECES = 8;

  /** In a drain, how long a command that has begun to come may take to be whole. */
  private static final long DRAIN_COMMAND_NANOS = 300_000_000L;

  /**
   * Commands in a row that make no sense before the client is turned away. Guards against a peer
   * that speaks another language at full speed; a client with a bug in some requests stays.
   */
  private static final int MAX_STRIKES = 16;

  private final Requests requests;
  private final ClientConnections connections;
  private final MetaCommand.Decoder decoder;
  private final ArrayDeque<Slot> slots = new ArrayDeque<>();
  private Channel channel;

  /** Since when it is fresh or idle, on the clock that leaves out pauses of the loop. */
  private long restsSince;

  /** Since when it lingers or closes. */
  private long endsSince;

  private long midwaySince;

  /** Since when it has taken nothing of what is written, 0 while it takes what there is. */
  private long stalledSince;

  /** How far it is from taking more. */
  private long stalledAt;

  private int strikes;

  /** The earliest time at which it can have connected; 0 where it was accepted as it came. */
  private final long connectedSince;

  private final long acceptedInTurn;

  /** Whether it has asked for anything yet. */
  private boolean spoke;

  /** When all that had come was last read, and whether it is being read now. */
  private long readAt = System.nanoTime();

  private boolean reading;

  /** Whether a command has come since the last look. */
  private boolean heard;

  /** Whether it is to end as soon as all is written and nothing more has come. */
  private boolean leaving;

  /** Whether no more commands are taken: the last answer is given or waits for those before it. */
  private boolean closing;

  /** Whether all is written, and only the client's end is waited for. */
  private boolean lingering;

  /** A handler for one connection, behind its decoder. */
  public ClientHandler(
      Requests requests, ClientConnections connections, MetaCommand.Decoder decoder) {
    this.requests = requests;
    this.connections = connections;
    this.decoder = decoder;
    restsSince = connections.idleClock();
    long now = System.nanoTime();
    long unread = connections.unreadNanos(now);
    connectedSince = unread == 0 ? 0 : now - unread;
    acceptedInTurn = connections.turn();
  }

  /** Who gives an answer in parts. */
  public interface Giver {
    /** The answers before this one are with the client. */
    void turn();

    /** The client has taken so many bytes of the parts. */
    void taken(int bytes);

    /** The client has gone; nothing more is told. */
    void clientGone();
  }

  /** The place of one answer in the order of a connection's answers. */
  public final class Slot {
    private Requests.Taken request;

    /** The parts that wait for their turn, null for an answer that is given whole. */
    private ArrayDeque<ByteBuf> parts;

    private Giver giver;

    /** Whether it is this answer's turn, and some of it is written. */
    private boolean turn;

    /** The answer, while it waits for those before it. */
    private ByteBuf waiting;

    private boolean last;

    /**
     * Whether the client has closed its connection, as far as its socket tells now. Guards against
     * work that nobody waits for: a close is told only by reading, which comes late where the loop
     * has stood still, and not at all where reading is off.
     */
    public boolean clientLeft() {
      return left();
    }

    /** Where buffers for the answer come from. */
    public ByteBufAllocator alloc() {
      return channel.alloc();
    }

    /** Gives a line as the answer. */
    public void line(String text) {
      ByteBuf line = channel.alloc().buffer(text.length() + 2);
      ByteBufUtil.writeAscii(line, text);
      answer(line.writeShort(0x0D0A));
    }

    /** Gives the answer. */
    public void answer(ByteBuf bytes) {
      if (wanted(bytes)) {
        give(bytes);
      }
    }

    /** Whether an answer is still wanted here; else what would begin it is released. */
    private boolean wanted(ByteBuf bytes) {
      boolean wanted = channel.isActive() && waiting == null && slots.contains(this);
      if (!wanted) {
        bytes.release();
      }
      return wanted;
    }

    private void give(ByteBuf bytes) {
      waiting = bytes;
      if (slots.peek() == this) {
        advance();
      }
    }

    /**
     * Gives the first line of an answer that comes in parts.
     *
     * @return whether the client is still there; else nothing is told to the giver
     */
    public boolean begin(ByteBuf head, Giver from) {
      if (!wanted(head)) {
        return false;
      }
      giver = from;
      parts = new ArrayDeque<>();
      give(head);
      return true;
    }

    /** Gives a part of the answer. */
    public void part(ByteBuf bytes) {
      if (giver == null) {
        bytes.release();
      } else if (turn) {
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
                if (written.isSuccess() && giver != null) {
                  giver.taken(size);
                }
              });
    }

    /** Ends the answer: all parts of it have been taken. */
    public void finish() {
      giver = null;
      channel.write(Unpooled.copyShort(0x0D0A), channel.voidPromise());
      slots.poll();
      advance();
    }

    /** Ends an answer that is not whole, by a line in its place, or by the connection's end. */
    public void cut(String line) {
      giver = null;
      if (turn) {
        // Closed with the value unfinished: a line would be taken for a part of it.
        channel.close();
        return;
      }
      release();
      parts = null;
      line(line);
    }

    private void writeParts() {
      turn = true;
      giver.turn();
      for (ByteBuf part = parts.poll(); part != null; part = parts.poll()) {
        writePart(part);
      }
    }

    private void release() {
      if (waiting != null) {
        waiting.release();
        waiting = null;
      }
      if (parts != null) {
        parts.forEach(ByteBuf::release);
        parts.clear();
      }
    }
  }

  /** Writes the answers whose turn it is. */
  private void advance() {
    for (Slot slot = slots.peek(); slot != null && slot.waiting != null; slot = slots.peek()) {
      channel.write(slot.waiting, channel.voidPromise());
      slot.waiting = null;
      if (slot.parts != null) {
        slot.writeParts();
        break;
      }
      slots.poll();
      if (slot.last) {
        linger();
      }
    }
    channel.flush();
    steer();
    rest();
  }

  /** Between requests the connection is idle. */
  private void rest() {
    if (quiet()) {
      restsSince = connections.idleClock();
      connections.idle(this);
    }
  }

  /** Whether nothing is owed here and nothing has begun to come. */
  private boolean quiet() {
    return slots.isEmpty() && !decoder.isIncomplete() && !closing;
  }

  /**
   * Takes in what lies in the socket; whether nothing is owed here after that. Guards against
   * holding a pause of this node against a client that asked during it.
   */
  boolean looksQuiet() {
    heard = false;
    SocketPolling.readNow(channel);
    return !heard && quiet();
  }

  private boolean mayLook() {
    return channel.isActive() && decoder.heldBytes() <= MAX_HELD;
  }

  private boolean left() {
    long unread = System.nanoTime() - readAt;
    if (!reading && unread > JUST_READ_NANOS) {
      // Each look reads one piece at least, and the close lies behind the last.
      long before = -1;
      for (int i = 0; i < LOOK_PIECES && decoder.readCount() > before && mayLook(); i++) {
        before = decoder.readCount();
        SocketPolling.readNow(channel);
      }
    }
    return !channel.isActive();
  }

  /**
   * Ends the sending side after what is written, and lets the client read it: a close while it
   * still sends would reset the connection and destroy the line that tells why. What it sends is
   * dropped unread by the decoder, up to a bound; then the socket's own buffer holds it up.
   */
  private void linger() {
    if (lingering) {
      return;
    }
    closing = true;
    lingering = true;
    endsSince = System.nanoTime();
    connections.lingers(this);
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

  /**
   * Takes commands only while the client is not owed too many, and reads on while it takes its
   * answers. Where reading is off, a client's close is seen by a look at each sweep, or by the
   * write that fails: a request that waits here must not go out long after its client has left.
   */
  private void steer() {
    boolean crowded = !closing && slots.size() >= MAX_OWED;
    boolean taken = closing ? decoder.mayDiscard() : channel.isWritable();
    channel.config().setAutoRead(taken && !crowded);
    if (decoder.setHolding(crowded) && !crowded) {
      // As a task, since this may run within the decoder.
      channel
          .eventLoop()
          .execute(
              () -> {
                channel.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
                channel.pipeline().fireChannelReadComplete();
              });
    }
  }

  /** Sees whether the client has gone, where nothing is read by itself. */
  private void lookIfUnread() {
    if (channel.config().isAutoRead() || (!closing && !channel.isWritable())) {
      return;
    }
    // Each look reads one piece only, and the close lies behind the last.
    for (int before = -1; channel.isActive() && decoder.heldBytes() > before; ) {
      before = decoder.heldBytes();
      SocketPolling.readNow(channel);
      if (before > MAX_HELD) {
        break;
      }
    }
    if (channel.isActive() && !closing && decoder.heldBytes() > MAX_HELD) {
      // A close behind still more could not be seen without keeping all of it.
      turnAway("SERVER_ERROR too many commands");
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    if (!connections.opened(this)) {
      turnAway("SERVER_ERROR busy");
    } else if (connections.draining()) {
      drain();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    reading = true;
    MetaCommand command = (MetaCommand) message;
    midwaySince = 0;
    spoke = true;
    heard = true;
    if (closing) {
      command.release();
      return;
    }
    connections.busy(this);
    Slot slot = new Slot();
    slots.add(slot);
    if (slots.size() >= MAX_OWED) {
      steer();
    }
    if (command.immediateReply == null
        && slots.size() <= MAX_OPEN
        && connections.mayTake(command.request.budget())) {
      strikes = 0;
      slot.request = requests.request(command, slot, unreadNanos());
      return;
    }
    if (command.request != null) {
      requests.refused(command.request.serviceClass());
    }
    boolean wrong = command.request == null && !command.immediateReply.equals("MN");
    strikes = wrong ? strikes + 1 : 0;
    command.release();
    end(slot, command.immediateReply, command.framingLost || strikes >= MAX_STRIKES);
  }

  /** How long a request that is read now may have lain unread. */
  private long unreadNanos() {
    long now = System.nanoTime();
    long unread = connections.unreadNanos(now);
    // What a connection holds that was accepted after a stall is read in the turn after.
    boolean justAccepted = connectedSince != 0 && connections.turn() == acceptedInTurn + 1;
    return justAccepted ? Math.max(unread, now - connectedSince) : unread;
  }

  private void end(Slot slot, String reply, boolean last) {
    slot.last = last;
    closing |= last;
    if (last) {
      decoder.discardInput();
    }
    slot.line(reply == null ? "SERVER_ERROR busy" : reply);
  }

  /** Gives a last line, behind the answers that are owed, and then ends the connection. */
  private void turnAway(String why) {
    Slot slot = new Slot();
    slots.add(slot);
    connections.busy(this);
    end(slot, why, true);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    reading = false;
    readAt = System.nanoTime();
    if (decoder.isIncomplete() && decoder.heldBytes() == 0) {
      midwaySince = midwaySince == 0 ? System.nanoTime() : midwaySince;
      connections.busy(this);
    }
    drainIfAsked();
    steer();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    stalledSince = channel.isWritable() ? 0 : System.nanoTime();
    stalledAt = channel.bytesBeforeWritable();
    steer();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    connections.closed(this);
    for (Slot slot = slots.poll(); slot != null; slot = slots.poll()) {
      slot.release();
      if (slot.giver != null) {
        Giver giver = slot.giver;
        slot.giver = null;
        giver.clientGone();
      }
      if (slot.request != null) {
        slot.request.clientGone();
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      requests.report("client connection", cause);
    }
    ctx.close();
  }

  /** Since when it is fresh or idle, on the clock that leaves out pauses. */
  long restsSince() {
    return restsSince;
  }

  /** Closes at once: nothing is owed here. */
  void drop() {
    channel.close();
  }

  /** Closes one that lingers, once more dropping what it sent. */
  void dropLingering() {
    // What is still unread would turn the close into a reset, which can cost the client the line
    // that tells why.
    SocketPolling.readNow(channel);
    channel.close();
  }

  /**
   * Closes as soon as all answers are written, unless a last look finds that the client has asked
   * again. Runs as a task of its own, since an answer is often given within the reading of the
   * command behind it.
   */
  void leave() {
    if (!leaving) {
      leaving = true;
      endsSince = System.nanoTime();
      channel.eventLoop().execute(this::leaveWhenWritten);
    }
  }

  private void leaveWhenWritten() {
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(written -> channel.eventLoop().execute(this::closeIfQuiet));
  }

  private void closeIfQuiet() {
    boolean quiet = looksQuiet();
    leaving = false;
    if (quiet) {
      closing = true;
      channel.close();
    } else {
      drainIfAsked();
    }
  }

  /**
   * Ends now, or as soon as nothing is owed. Until then it reads on: what comes behind an open
   * request is owed an answer from its last byte on, and a client that leaves has to be heard. What
   * this node may not live to answer is refused as it comes.
   */
  void drain() {
    if (!lingering && !closing && quiet()) {
      leave();
    }
  }

  private void drainIfAsked() {
    if (connections.draining()) {
      drain();
    }
  }

  /**
   * Ends a connection that stands for nothing: silent, idle, stopped halfway through a command,
   * reading nothing, or turned away. Each would hold memory and a descriptor for good.
   */
  void sweep(long now) {
    ClientConnections.Limits limits = connections.limits();
    lookIfUnread();
    if (!channel.isActive()) {
      return;
    }
    if (stalledSince != 0 && channel.bytesBeforeWritable() < stalledAt) {
      // It takes what it is given, if slowly.
      stalledSince = now;
    }
    stalledAt = channel.bytesBeforeWritable();
    if (stalledSince != 0 && now - stalledSince > limits.stallNanos()) {
      // It may have read on while this node did not run.
      SocketPolling.writeNow(channel);
      if (stalledSince != 0) {
        channel.close();
      }
    } else if (lingering) {
      if (now - endsSince > limits.lingerNanos()) {
        dropLingering();
      }
    } else if (leaving) {
      // What is owed still has a deadline; what is written and not taken has none.
      if (now - endsSince > limits.stallNanos() && looksQuiet()) {
        drop();
      }
    } else if (midwaySince != 0) {
      long patience =
          connections.draining()
              ? Math.min(DRAIN_COMMAND_NANOS, limits.commandNanos())
              : limits.commandNanos();
      if (now - midwaySince > patience) {
        turnAwayIfMidway();
      }
    } else if (quiet()
        && connections.idleClock() - restsSince
            > (spoke ? connections.restNanos() : limits.commandNanos())) {
      leave();
    }
  }

  /** Turns away a client whose command is still not whole after a look at what has come. */
  private void turnAwayIfMidway() {
    long before = midwaySince;
    SocketPolling.readNow(channel);
    if (midwaySince == before && decoder.isIncomplete() && channel.isActive()) {
      turnAway("CLIENT_ERROR command not finished");
    }
  }
}
