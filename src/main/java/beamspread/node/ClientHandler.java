package beamspread.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;

/** A client's connection: takes its commands and gives the answers in their order. */
final class ClientHandler extends ChannelInboundHandlerAdapter {
  /**
   * Answers that one connection may be owed before no more is read from it. Guards against a client
   * that sends commands and reads no answers.
   */
  private static final int MAX_OWED = 64;

  /** How long a command may take to come; the protocol grants a client 2 s. */
  private static final long MAX_COMMAND_NANOS = 5_000_000_000L;

  /** How long a client may read nothing of what waits for it. */
  private static final long MAX_STALL_NANOS = 10_000_000_000L;

  private final Dispatcher dispatcher;
  private final ClientConnections connections;
  private final MetaCommand.Decoder decoder;
  private final ArrayDeque<Slot> slots = new ArrayDeque<>();
  private Channel channel;
  private long midwaySince;
  private long stalledSince;
  private boolean closing;

  ClientHandler(Dispatcher dispatcher, ClientConnections connections, MetaCommand.Decoder decoder) {
    this.dispatcher = dispatcher;
    this.connections = connections;
    this.decoder = decoder;
  }

  /** The place of one answer in the order of a connection's answers. */
  final class Slot {
    private OpenRequest request;

    /** Bytes that wait for the answers before them, null if there are none. */
    private ByteBuf waiting;

    /** Where the rest of a long value comes from, null for an answer that is given whole. */
    private ServerConnection source;

    private boolean whole;
    private boolean last;

    /** Gives a line as the whole answer. */
    void line(String text) {
      ByteBuf line = channel.alloc().buffer(text.length() + 2);
      ByteBufUtil.writeAscii(line, text);
      whole(line.writeShort(0x0D0A));
    }

    /** Gives the whole answer. */
    void whole(ByteBuf bytes) {
      whole = true;
      add(bytes);
    }

    /** Begins a long value, whose rest comes from a server's connection. */
    void begin(ByteBuf bytes, ServerConnection from) {
      source = from;
      add(bytes);
    }

    /** Goes on with a long value. */
    void piece(ByteBuf bytes, boolean end) {
      whole = end;
      add(bytes);
    }

    private void add(ByteBuf bytes) {
      if (closing || !channel.isActive()) {
        bytes.release();
        return;
      }
      if (slots.peek() == this) {
        channel.write(bytes, channel.voidPromise());
        if (whole) {
          slots.poll();
          advance();
        } else if (!channel.isWritable()) {
          source.pause();
        }
        channel.flush();
      } else {
        waiting =
            waiting == null
                ? bytes
                : channel.alloc().compositeBuffer(1 << 10).addComponents(true, waiting, bytes);
        if (source != null) {
          source.pause();
        }
      }
    }

    /** The rest of a value that was begun never comes: only the connection's end can tell that. */
    void cutOff() {
      if (slots.peek() == this) {
        channel.close();
        return;
      }
      // None of it has gone out: a failure can still be told in its place.
      source = null;
      if (waiting != null) {
        waiting.release();
        waiting = null;
      }
      line("SERVER_ERROR failed");
    }
  }

  /** Writes what waited for the answer that has just been given. */
  private void advance() {
    for (Slot slot = slots.peek(); slot != null; slot = slots.peek()) {
      if (slot.waiting != null) {
        channel.write(slot.waiting, channel.voidPromise());
        slot.waiting = null;
      }
      if (!slot.whole) {
        if (slot.source != null && channel.isWritable()) {
          slot.source.resume();
        }
        break;
      }
      slots.poll();
      if (slot.last) {
        closing = true;
        channel
            .writeAndFlush(channel.alloc().buffer(0, 0))
            .addListener(ChannelFutureListener.CLOSE);
      }
    }
    steer();
    if (slots.isEmpty()) {
      connections.idle(this);
    }
  }

  /** Reads on while the client reads its answers and is not owed too many. */
  private void steer() {
    channel.config().setAutoRead(channel.isWritable() && slots.size() < MAX_OWED);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    connections.opened(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    MetaCommand command = (MetaCommand) message;
    if (closing) {
      command.release();
      return;
    }
    connections.busy(this);
    Slot slot = new Slot();
    slots.add(slot);
    if (command.reply != null) {
      slot.last = command.lost;
      closeAfterward(slot, command);
    } else {
      slot.request = dispatcher.request(command, slot);
    }
    if (slots.size() >= MAX_OWED) {
      steer();
    }
  }

  private void closeAfterward(Slot slot, MetaCommand command) {
    slot.line(command.reply);
    if (slot.last && !slots.contains(slot) && !closing) {
      closing = true;
      channel.writeAndFlush(channel.alloc().buffer(0, 0)).addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    midwaySince = !decoder.midway() ? 0 : midwaySince == 0 ? System.nanoTime() : midwaySince;
    if (midwaySince != 0) {
      connections.busy(this);
    } else if (slots.isEmpty()) {
      connections.idle(this);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    stalledSince = channel.isWritable() ? 0 : System.nanoTime();
    Slot head = slots.peek();
    if (head != null && head.source != null && channel.isWritable()) {
      head.source.resume();
    }
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
    if (!(cause instanceof java.io.IOException)) {
      dispatcher.report("client connection", cause);
    }
    ctx.close();
  }

  /** Whether nothing is owed and no command has begun. */
  boolean isIdle() {
    return slots.isEmpty() && !decoder.midway();
  }

  void close() {
    channel.close();
  }

  /**
   * Closes the connection of a client that stopped halfway through a command, or that has long read
   * nothing: either would hold memory and a descriptor for good.
   */
  void closeIfStuck(long now) {
    if ((midwaySince != 0 && now - midwaySince > MAX_COMMAND_NANOS)
        || (stalledSince != 0 && now - stalledSince > MAX_STALL_NANOS)) {
      channel.close();
    }
  }
}
