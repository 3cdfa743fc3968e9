package beamspread.node.relay;

import beamspread.node.client.ClientHandler;
import beamspread.node.server.ValueSink;
import beamspread.node.server.ValueSource;
import beamspread.node.wire.MetaReply;
import beamspread.relay.Relay;
import beamspread.relay.RelayActions;
import beamspread.relay.RelaySettings;
import beamspread.relay.Relays;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Carries out the decisions of {@link Relays}. Runs on the event loop only. */
public final class ValueRelays {
  /** Is notified of the end of a relayed value. */
  public interface CompletionListener {
    /**
     * Called once.
     *
     * @param complete whether the client has received the complete value
     */
    void completed(boolean complete);
  }

  private final Relays relays;
  private final EventLoop loop;
  private final LongSupplier clock;
  private int activeCount;

  /**
   * Creates relays without values.
   *
   * @param loop the event loop of all connections
   * @param clock a clock in nanoseconds that excludes stalls of the event loop
   */
  public ValueRelays(RelaySettings settings, EventLoop loop, LongSupplier clock) {
    this.relays = new Relays(settings);
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * Begins to relay a value whose first line has been received.
   *
   * @param remainingNanos how long the client still waits in any case
   * @return the sink for the parts of the value; if the client has disconnected, it discards them
   *     and the listener is called at once
   */
  public ValueSink begin(
      MetaReply head,
      ValueSource source,
      ClientHandler.AnswerSlot slot,
      long remainingNanos,
      CompletionListener listener) {
    ValueTransfer transfer = new ValueTransfer(source, slot, listener);
    long now = clock.getAsLong();
    transfer.relay = relays.begin(now, head.followingBytes(), now + remainingNanos, transfer);
    activeCount++;
    ByteBuf line = slot.allocator().buffer(head.id().length() + 24);
    ByteBufUtil.writeAscii(line, "VA " + head.followingBytes() + " O" + head.id());
    if (!slot.beginStream(line.writeShort(0x0D0A), transfer)) {
      transfer.clientGone();
    }
    return transfer;
  }

  /** Returns the number of values that are being relayed. */
  public int activeCount() {
    return activeCount;
  }

  /** Returns the relays with their counts. */
  public Relays relays() {
    return relays;
  }

  /** Closes relays without progress. */
  public void closeExpired() {
    relays.tick(clock.getAsLong());
  }

  /** One value that is being relayed. */
  private final class ValueTransfer
      implements ValueSink, ClientHandler.StreamListener, RelayActions {
    private final ValueSource source;
    private final ClientHandler.AnswerSlot slot;
    private final CompletionListener listener;
    private Relay relay;

    ValueTransfer(ValueSource source, ClientHandler.AnswerSlot slot, CompletionListener listener) {
      this.source = source;
      this.slot = slot;
      this.listener = listener;
    }

    // Events of the cache server's connection.

    @Override
    public void partReceived(ByteBuf bytes) {
      int size = bytes.readableBytes();
      if (size > 0 && relay.received(clock.getAsLong(), size)) {
        slot.streamPart(bytes);
      } else {
        bytes.release();
      }
    }

    @Override
    public void completed() {
      slot.allPartsGiven();
      relay.completed(clock.getAsLong());
    }

    @Override
    public void aborted() {
      relay.aborted();
    }

    // Events of the client's connection.

    @Override
    public void slotReached() {
      relay.clientReady(clock.getAsLong());
    }

    @Override
    public void heldUntilWhole(long nanos) {
      relay.holdUntilWhole(clock.getAsLong(), nanos);
      long checkAfter = Math.min(nanos, Relay.MAX_WHOLE_HOLD_NANOS);
      loop.schedule(
          () -> relay.checkDeadlines(clock.getAsLong()), checkAfter, TimeUnit.NANOSECONDS);
    }

    @Override
    public void bytesWritten(int bytes) {
      relay.delivered(clock.getAsLong(), bytes);
    }

    @Override
    public void clientGone() {
      relay.clientDisconnected(clock.getAsLong());
    }

    // Actions that the relay decides.

    @Override
    public void setReading(boolean on) {
      source.setReading(on);
    }

    @Override
    public boolean isShared() {
      return source.isShared();
    }

    @Override
    public void closeServerConnection() {
      source.close();
    }

    @Override
    public void cutClient() {
      slot.abortStream("SERVER_ERROR failed");
    }

    @Override
    public void ended(boolean whole) {
      activeCount--;
      listener.completed(whole);
      if (whole) {
        slot.finishStream();
      }
    }
  }
}
