package beamspread.store;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.function.Predicate;

/** A connection to the store: answers go out in the order of the commands. */
final class StoreConnection extends SimpleChannelInboundHandler<MetaReader.Command> {
  /** Commands that may be open here before no more is read. */
  private static final int MOST_OPEN = 64;

  private static final byte[] END = {'\r', '\n'};

  private final SheetStore store;
  private final Predicate<Runnable> reads;
  private final ArrayDeque<Slot> slots = new ArrayDeque<>();

  /** The place of an answer, and the answer once there is one. */
  private static final class Slot {
    private String line;
    private byte[] value;
    private boolean last;
  }

  StoreConnection(SheetStore store, Predicate<Runnable> reads) {
    this.store = store;
    this.reads = reads;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, MetaReader.Command command) {
    Slot slot = new Slot();
    slots.add(slot);
    steer(ctx);
    if (command.wrong() != null) {
      slot.last = command.lost();
      answer(ctx, slot, "CLIENT_ERROR " + command.wrong(), null);
    } else if (command.write()) {
      long deadline = System.nanoTime() + command.millis() * 1_000_000;
      Write write =
          new Write(command.id(), command.repeat(), command.key(), command.value(), deadline);
      store.write(
          write, told -> ctx.executor().execute(() -> wrote(ctx, slot, told, command.opaque())));
    } else if (!reads.test(() -> read(ctx, slot, command))) {
      answer(ctx, slot, "SERVER_ERROR busy", null);
    }
  }

  private void wrote(ChannelHandlerContext ctx, Slot slot, Write.Answer told, String opaque) {
    String line =
        switch (told.fate()) {
          case STORED -> "HD" + opaque + " c" + told.receipt();
          case REFUSED -> "SERVER_ERROR busy";
          case UNKNOWN, TOO_OLD -> "SERVER_ERROR failed";
        };
    answer(ctx, slot, line, null);
  }

  /** On the reads' own thread. */
  private void read(ChannelHandlerContext ctx, Slot slot, MetaReader.Command command) {
    String line;
    byte[] value = null;
    try {
      Optional<Sheets.Sheet> sheet = store.read(command.key());
      value = sheet.map(Sheets.Sheet::value).orElse(null);
      line = value == null ? "EN" : "VA " + value.length + command.opaque();
    } catch (SheetsException e) {
      line = "SERVER_ERROR failed";
    }
    String said = line;
    byte[] bytes = value;
    ctx.executor().execute(() -> answer(ctx, slot, said, bytes));
  }

  private void answer(ChannelHandlerContext ctx, Slot slot, String line, byte[] value) {
    slot.line = line;
    slot.value = value;
    for (Slot next = slots.peek(); next != null && next.line != null; next = slots.peek()) {
      slots.poll();
      ByteBuf out = ctx.alloc().buffer();
      ByteBufUtil.writeAscii(out, next.line);
      out.writeBytes(END);
      if (next.value != null) {
        out.writeBytes(next.value).writeBytes(END);
      }
      var written = ctx.write(out);
      if (next.last) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }
    ctx.flush();
    steer(ctx);
  }

  /** Takes more commands only while few are open and the peer takes its answers. */
  private void steer(ChannelHandlerContext ctx) {
    ctx.channel().config().setAutoRead(slots.size() < MOST_OPEN && ctx.channel().isWritable());
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    steer(ctx);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
