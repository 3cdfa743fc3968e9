package beamspread.loop;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A listening TCP socket that asks an {@link AcceptGate} before it accepts. When the system call
 * fails, it stays open and accepts again after a pause.
 */
public final class GatedServerSocketChannel extends NioServerSocketChannel {
  /** Pause after a failed system call: short for waiting clients, long enough not to be busy. */
  private static final long PAUSE_AFTER_FAILURE_MILLIS = 50;

  private final AcceptGate gate;

  /** Creates a socket that is not bound yet. */
  public GatedServerSocketChannel(AcceptGate gate) {
    this.gate = gate;
  }

  @Override
  protected int doReadMessages(List<Object> accepted) throws Exception {
    if (!gate.mayAccept(accepted.size())) {
      return 0;
    }
    try {
      return super.doReadMessages(accepted);
    } catch (IOException e) {
      if (isOpen()) {
        pause();
        gate.acceptFailed(e);
      }
      return 0;
    }
  }

  private void pause() {
    config().setAutoRead(false);
    eventLoop()
        .schedule(
            () -> config().setAutoRead(true), PAUSE_AFTER_FAILURE_MILLIS, TimeUnit.MILLISECONDS);
  }
}
