package beamspread.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.util.ArrayDeque;

/** A client's connection: takes its commands and gives the answers in their order. */
final class ClientHandler extends ChannelInboundHandlerAdapter {
  /**
   * Requests that one connection may have open: as many as a cache server takes on one. Guards
   * against a client that sends more than it waits for; what goes beyond is refused, truthfully.
   */
  private static final int MAX_OPEN = 32;

  /** Answers that one connection may be owed before no more is read from it. */
  private static final int MAX_OWED = 256;

  /**
   * Commands in a row that make no sense before the client is turned away. Guards against a peer
   * that speaks another language at full speed; a client with a bug in some requests stays.
   */
  private static final int MAX_STRIKES = 16;

  private final Dispatcher dispatcher;
  private final ClientConnections connections;
  private final MetaCommand.Decoder decoder;
  private final ArrayDeque<Slot> slots = new ArrayDeque<>();
  private Channel channel;

  /** Since when it is as it is now: fresh, idle, busy or lingering. */
  private long since = System.nanoTime();

  private long midwaySince;
  private long stalledSince;
  private int strikes;

  /** Whether it has asked for anything yet. */
  private boolean spoke;

  /** Whether a drain has ended the reading. */
  private boolean stopped;

  /** Whether no more commands are taken: the last answer is given or waits for those before it. */
  private boolean closing;

  /** Whether all is written, and only the client's end is waited for. */
  private boolean lingering;

  ClientHandler(Dispatcher dispatcher, ClientConnections connections, MetaCommand.Decoder decoder) {
    this.dispatcher = dispatcher;
    this.connections = connections;
    this.decoder = decoder;
  }

  /** The place of one answer in the order of a connection's answers. */
  final class Slot {
    private OpenRequest request;

    /** The answer, while it waits for those before it. */
    private ByteBuf waiting;

    private boolean last;

    ByteBufAllocator alloc() {
      return channel.alloc();
    }

    /** Gives a line as the answer. */
    void line(String text) {
      ByteBuf line = channel.alloc().buffer(text.length() + 2);
      ByteBufUtil.writeAscii(line, text);
      answer(line.writeShort(0x0D0A));
    }

    /** Gives the answer. */
    void answer(ByteBuf bytes) {
      if (!channel.isActive() || waiting != null || !slots.contains(this)) {
        bytes.release();
        return;
      }
      waiting = bytes;
      if (slots.peek() == this) {
        advance();
      }
    }
  }

  /** Writes the answers whose turn it is. */
  private void advance() {
    for (Slot slot = slots.peek(); slot != null && slot.waiting != null; slot = slots.peek()) {
      slots.poll();
      channel.write(slot.waiting, channel.voidPromise());
      slot.waiting = null;
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
    if (slots.isEmpty() && !decoder.midway() && !closing) {
      since = System.nanoTime();
      connections.idle(this);
    }
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
    since = System.nanoTime();
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

  /** Reads on only while the client takes its answers and is not owed too many. */
  private void steer() {
    boolean taken = closing ? decoder.mayDiscard() : channel.isWritable();
    channel.config().setAutoRead(taken && slots.size() < MAX_OWED && !stopped);
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
    MetaCommand command = (MetaCommand) message;
    midwaySince = 0;
    spoke = true;
    if (closing) {
      command.release();
      return;
    }
    connections.busy(this);
    Slot slot = new Slot();
    slots.add(slot);
    if (command.reply == null && slots.size() <= MAX_OPEN) {
      strikes = 0;
      slot.request = dispatcher.request(command, slot);
      return;
    }
    boolean wrong = command.reply != null && !command.reply.equals("MN");
    strikes = wrong ? strikes + 1 : 0;
    command.release();
    end(slot, command.reply, command.lost || strikes >= MAX_STRIKES);
  }

  private void end(Slot slot, String reply, boolean last) {
    slot.last = last;
    closing |= last;
    if (last) {
      decoder.giveUp();
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
    if (decoder.midway()) {
      midwaySince = midwaySince == 0 ? System.nanoTime() : midwaySince;
      connections.busy(this);
    }
    if (connections.draining()) {
      drain();
    }
    steer();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    stalledSince = channel.isWritable() ? 0 : System.nanoTime();
    steer();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    connections.closed(this);
    for (Slot slot = slots.poll(); slot != null; slot = slots.poll()) {
      if (slot.waiting != null) {
        slot.waiting.release();
      }
      if (slot.request != null) {
        dispatcher.clientGone(slot.request);
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      dispatcher.report("client connection", cause);
    }
    ctx.close();
  }

  long since() {
    return since;
  }

  /** Closes at once: nothing is owed here. */
  void drop() {
    channel.close();
  }

  /** Closes as soon as all answers are written. */
  void closeWhenWritten() {
    closing = true;
    stopped = true;
    since = System.nanoTime();
    steer();
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  /**
   * Takes nothing new: closes now, or when what it has asked for is answered. What the client sends
   * from here on stays unread, so that it learns by the reset that it may ask elsewhere.
   */
  void drain() {
    if (lingering || closing) {
      return;
    }
    if (slots.isEmpty() && !decoder.midway()) {
      connections.busy(this);
      closeWhenWritten();
    } else {
      stopped = !decoder.midway();
      steer();
    }
  }

  /**
   * Ends a connection that stands for nothing: silent, idle, stopped halfway through a command,
   * reading nothing, or turned away. Each would hold memory and a descriptor for good.
   */
  void sweep(long now) {
    ClientConnections.Limits limits = connections.limits();
    if (stalledSince != 0 && now - stalledSince > limits.stallNanos()) {
      channel.close();
    } else if (lingering) {
      if (now - since > limits.lingerNanos()) {
        channel.close();
      }
    } else if (closing) {
      // What is owed still has a deadline; what is written and not taken has none.
      if (slots.isEmpty() && now - since > limits.stallNanos()) {
        channel.close();
      }
    } else if (midwaySince != 0) {
      if (now - midwaySince > limits.commandNanos() || connections.draining()) {
        turnAway("CLIENT_ERROR command not finished");
      }
    } else if (slots.isEmpty()
        && now - since > (spoke ? connections.restNanos() : limits.commandNanos())) {
      connections.busy(this);
      closeWhenWritten();
    }
  }
}
