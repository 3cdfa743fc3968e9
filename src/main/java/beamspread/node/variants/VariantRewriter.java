package beamspread.node.variants;

import beamspread.node.server.ValueSink;
import beamspread.node.wire.MetaCommand;
import beamspread.variants.ValueHash;
import beamspread.variants.VariantKeys;
import io.netty.buffer.ByteBuf;

/** Applies variant keys to requests and their values. Runs on the event loop only. */
public final class VariantRewriter {
  private final VariantKeys keys;

  /** Creates a rewriter for these keys. */
  public VariantRewriter(VariantKeys keys) {
    this.keys = keys;
  }

  /** Returns the rewritten key of a request; null if it is unchanged. A write splits its family. */
  public VariantKeys.Rewrite rewrite(MetaCommand command) {
    String key = command.request.key();
    long now = System.nanoTime();
    if (command.request.write()) {
      keys.written(now, key);
      return null;
    }
    return keys.rewrite(now, key, command.request.serviceClass());
  }

  /**
   * Called with a value that was received in one piece; hashes it if it is to be compared.
   *
   * @param value the value with its CRLF; its indexes are not changed
   */
  public void valueReceived(VariantKeys.Rewrite rewrite, ByteBuf value) {
    if (rewrite != null && rewrite.compared()) {
      ByteBuf bytes = value.slice(value.readerIndex(), value.readableBytes() - 2);
      keys.answered(
          System.nanoTime(), rewrite, new ValueHash.Builder().add(bytes.nioBuffer()).build());
    }
  }

  /** Returns a sink that hashes the parts of a value if it is to be compared, or the given sink. */
  public ValueSink hashingSink(VariantKeys.Rewrite rewrite, ValueSink sink) {
    return rewrite == null || !rewrite.compared() || sink == null
        ? sink
        : new HashingSink(rewrite, sink);
  }

  private final class HashingSink implements ValueSink {
    private final VariantKeys.Rewrite rewrite;
    private final ValueSink sink;
    private final ValueHash.Builder hash = new ValueHash.Builder();

    HashingSink(VariantKeys.Rewrite rewrite, ValueSink sink) {
      this.rewrite = rewrite;
      this.sink = sink;
    }

    @Override
    public void part(ByteBuf bytes) {
      hash.add(bytes.nioBuffer());
      sink.part(bytes);
    }

    @Override
    public void whole() {
      keys.answered(System.nanoTime(), rewrite, hash.build());
      sink.whole();
    }

    @Override
    public void broken() {
      sink.broken();
    }
  }
}
