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
import java.util.function.LongSupplier;

/** Carries out what {@link Relays} decides. All of it runs on the event loop. */
public final class ValueRelays {
  /** Who is told that a request is over. */
  public interface Ended {
    /** Told once; whether the client has taken the whole value. */
    void over(boolean whole);
  }

  private final Relays relays;
  private final LongSupplier clock;
  private int passing;

  /**
   * @param clock nanoseconds that leave out the time in which the event loop did not run
   */
  public ValueRelays(RelaySettings settings, LongSupplier clock) {
    this.relays = new Relays(settings);
    this.clock = clock;
  }

  /**
   * Passes a value on, from behind its head.
   *
   * @return where its parts go; to nowhere if the client has gone, of which the end is told at once
   */
  public ValueSink begin(MetaReply head, ValueSource source, ClientHandler.Slot slot, Ended ended) {
    Passage passage = new Passage(source, slot, ended);
    passage.relay = relays.begin(clock.getAsLong(), head.followingBytes(), passage);
    passing++;
    ByteBuf line = slot.alloc().buffer(head.id().length() + 24);
    ByteBufUtil.writeAscii(line, "VA " + head.followingBytes() + " O" + head.id());
    if (!slot.begin(line.writeShort(0x0D0A), passage)) {
      passage.clientGone();
    }
    return passage;
  }

  /** Requests whose values are on their way. */
  public int passing() {
    return passing;
  }

  /** What has become of values, for operators. */
  public Relays figures() {
    return relays;
  }

  /** Ends what stands still. */
  public void sweep() {
    relays.tick(clock.getAsLong());
  }

  private final class Passage implements ValueSink, ClientHandler.Giver, RelayActions {
    private final ValueSource source;
    private final ClientHandler.Slot slot;
    private final Ended ended;
    private Relay relay;

    Passage(ValueSource source, ClientHandler.Slot slot, Ended ended) {
      this.source = source;
      this.slot = slot;
      this.ended = ended;
    }

    // What the cache server does.

    @Override
    public void partReceived(ByteBuf bytes) {
      int size = bytes.readableBytes();
      if (size > 0 && relay.received(clock.getAsLong(), size)) {
        slot.part(bytes);
      } else {
        bytes.release();
      }
    }

    @Override
    public void completed() {
      relay.completed(clock.getAsLong());
    }

    @Override
    public void aborted() {
      relay.aborted();
    }

    // What the client does.

    @Override
    public void turn() {
      relay.clientReady(clock.getAsLong());
    }

    @Override
    public void taken(int bytes) {
      relay.delivered(clock.getAsLong(), bytes);
    }

    @Override
    public void clientGone() {
      relay.clientDisconnected(clock.getAsLong());
    }

    // What is decided.

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
      slot.cut("SERVER_ERROR failed");
    }

    @Override
    public void ended(boolean whole) {
      passing--;
      ended.over(whole);
      if (whole) {
        slot.finish();
      }
    }
  }
}
