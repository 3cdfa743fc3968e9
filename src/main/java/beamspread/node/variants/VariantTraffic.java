package beamspread.node.variants;

import beamspread.node.server.ValueSink;
import beamspread.node.wire.MetaCommand;
import beamspread.variants.ValueHash;
import beamspread.variants.VariantKeys;
import io.netty.buffer.ByteBuf;

/** Requests as variant keys concern them. All of it runs on the event loop. */
public final class VariantTraffic {
  private final VariantKeys keys;

  /** Requests under these keys. */
  public VariantTraffic(VariantKeys keys) {
    this.keys = keys;
  }

  /** What a request asks for; null if it stays as it is. A write splits its family. */
  public VariantKeys.Rewrite asks(MetaCommand command) {
    String key = command.request.key();
    long now = System.nanoTime();
    if (command.request.write()) {
      keys.recordWrite(now, key);
      return null;
    }
    return keys.rewrite(now, key, command.request.serviceClass());
  }

  /**
   * A value has come whole.
   *
   * @param value with its CRLF; its indexes stay
   */
  public void answered(VariantKeys.Rewrite asked, ByteBuf value) {
    if (asked != null && asked.compared()) {
      ByteBuf bytes = value.slice(value.readerIndex(), value.readableBytes() - 2);
      keys.recordValue(
          System.nanoTime(), asked, new ValueHash.Builder().add(bytes.nioBuffer()).build());
    }
  }

  /** A value comes in parts: they are hashed as they pass. */
  public ValueSink passing(VariantKeys.Rewrite asked, ValueSink sink) {
    return asked == null || !asked.compared() || sink == null ? sink : new Hashing(asked, sink);
  }

  private final class Hashing implements ValueSink {
    private final VariantKeys.Rewrite asked;
    private final ValueSink sink;
    private final ValueHash.Builder hash = new ValueHash.Builder();

    Hashing(VariantKeys.Rewrite asked, ValueSink sink) {
      this.asked = asked;
      this.sink = sink;
    }

    @Override
    public void part(ByteBuf bytes) {
      hash.add(bytes.nioBuffer());
      sink.part(bytes);
    }

    @Override
    public void whole() {
      keys.recordValue(System.nanoTime(), asked, hash.build());
      sink.whole();
    }

    @Override
    public void broken() {
      sink.broken();
    }
  }
}
