package beamspread.cli;

import java.util.concurrent.CountDownLatch;

/** A process that serves until it is told to end, and then ends what it has before it is gone. */
final class UntilTold implements AutoCloseable {
  private final CountDownLatch told = new CountDownLatch(1);
  private final CountDownLatch over = new CountDownLatch(1);

  /** Waits for SIGTERM, or what else ends the virtual machine. */
  void await() throws InterruptedException {
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAndWait));
    told.await();
  }

  private void endAndWait() {
    told.countDown();
    try {
      over.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** All is ended: the process may go. */
  @Override
  public void close() {
    over.countDown();
  }
}
