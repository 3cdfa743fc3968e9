package beamspread.node.server;

import io.netty.buffer.ByteBuf;

/** Receives the parts of a large value. Nothing follows {@link #completed} or {@link #aborted}. */
public interface ValueSink {
  /** Receives the next bytes and takes over their ownership. */
  void partReceived(ByteBuf bytes);

  /** Called when the value is complete. */
  void completed();

  /** Called when the connection ended within the value, or sent invalid data. */
  void aborted();
}
