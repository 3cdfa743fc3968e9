package beamspread.node.variants;

import beamspread.node.server.ValueSink;
import beamspread.node.wire.MetaCommand;
import beamspread.variants.ValueHash;
import beamspread.variants.VariantKeys;
import io.netty.buffer.ByteBuf;

/**
 * Rewrites the keys of reads to canonical keys, and records writes and hashes of values, by which
 * variants are compared. Runs on the event loop only.
 */
public final class VariantRewriter {
  private final VariantKeys keys;

  /** Creates a rewriter for these keys. */
  public VariantRewriter(VariantKeys keys) {
    this.keys = keys;
  }

  /**
   * Returns the rewritten key of a read; null if it is unchanged. For a write, records that its
   * family has to be split, and returns null.
   */
  public VariantKeys.Rewrite rewrite(MetaCommand command) {
    String key = command.request.key();
    long now = System.nanoTime();
    if (command.request.write()) {
      keys.recordWrite(now, key);
      return null;
    }
    return keys.rewrite(now, key, command.request.serviceClass());
  }

  /**
   * Called with a value that was received in one piece; hashes it if the read takes part in a
   * comparison of variants.
   *
   * @param value the value with its CRLF; its indexes are not changed
   */
  public void valueReceived(VariantKeys.Rewrite rewrite, ByteBuf value) {
    if (rewrite != null && rewrite.compared()) {
      ByteBuf bytes = value.slice(value.readerIndex(), value.readableBytes() - 2);
      keys.recordValue(
          System.nanoTime(), rewrite, new ValueHash.Builder().add(bytes.nioBuffer()).build());
    }
  }

  /**
   * Returns a sink that hashes the parts of a value if the read takes part in a comparison of
   * variants; otherwise returns the given sink.
   */
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
    public void partReceived(ByteBuf bytes) {
      hash.add(bytes.nioBuffer());
      sink.partReceived(bytes);
    }

    @Override
    public void completed() {
      keys.recordValue(System.nanoTime(), rewrite, hash.build());
      sink.completed();
    }

    @Override
    public void aborted() {
      sink.aborted();
    }
  }
}
