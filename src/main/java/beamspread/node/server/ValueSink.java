package beamspread.node.server;

import io.netty.buffer.ByteBuf;

/** Where the parts of a large value go. After {@link #whole} or {@link #broken} nothing comes. */
public interface ValueSink {
  /** The next bytes, which it takes over. */
  void part(ByteBuf bytes);

  /** The value has come in full. */
  void whole();

  /** The connection has ended within the value, or what came makes no sense. */
  void broken();
}
