package beamspread.loop;

import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * Creates the thread of one event loop, and reports when the loop ends without having been shut
 * down. An {@link Error} that leaves an I/O handler ends its loop for good: the sockets stay open
 * and nobody serves them, so that the process has to end.
 */
public final class EventLoopThreads extends DefaultThreadFactory {
  private final Runnable onUnexpectedEnd;
  private volatile boolean endExpected;

  /**
   * Creates the factory of one loop.
   *
   * @param name the beginning of the thread's name
   * @param onUnexpectedEnd runs on the loop's thread, which ends after it
   */
  public EventLoopThreads(String name, Runnable onUnexpectedEnd) {
    super(name, false);
    this.onUnexpectedEnd = onUnexpectedEnd;
  }

  @Override
  public Thread newThread(Runnable loop) {
    return super.newThread(() -> run(loop));
  }

  private void run(Runnable loop) {
    try {
      loop.run();
    } finally {
      if (!endExpected) {
        onUnexpectedEnd.run();
      }
    }
  }

  /** Declares that the loop is about to be shut down. */
  public void expectEnd() {
    endExpected = true;
  }
}
