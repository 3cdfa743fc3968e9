package beamspread.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

/**
 * Carries out what the {@link WriteDesk} decides: one thread writes transactions, another answers
 * those whose time runs out while the disk is waited for. Each write is answered once, on one of
 * these threads or that of the caller; askers must not block.
 */
public final class SheetStore implements AutoCloseable {
  private final Sheets sheets;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final WriteDesk<Consumer<Write.Answer>> desk;
  private final Thread writer = new Thread(this::writeOn, "store-writer");
  private final Thread watch = new Thread(this::watchOn, "store-watch");
  private boolean closed;

  /** A store over these sheets, which it closes with itself. */
  public SheetStore(Sheets sheets, WriteDesk.Limits limits) {
    this.sheets = sheets;
    this.desk = new WriteDesk<>(limits);
    writer.start();
    watch.start();
  }

  /**
   * Writes a sheet, whose deadline is on the clock of {@link System#nanoTime()}.
   *
   * @param asker is told once, by the deadline
   */
  public void write(Write write, Consumer<Write.Answer> asker) {
    Write.Answer now;
    lock.lock();
    try {
      now = desk.offer(System.nanoTime(), write, asker);
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    if (now != null) {
      asker.accept(now);
    }
  }

  /** The sheet of this key; waits for no write. */
  public Optional<Sheets.Sheet> read(String key) throws SheetsException {
    return sheets.read(key);
  }

  private void writeOn() {
    while (true) {
      List<WriteDesk.Entry<Consumer<Write.Answer>>> batch;
      List<WriteDesk.Told<Consumer<Write.Answer>>> late;
      lock.lock();
      try {
        while (desk.waiting() == 0 && !closed) {
          changed.awaitUninterruptibly();
        }
        if (closed) {
          return;
        }
        long now = System.nanoTime();
        late = desk.expire(now);
        batch = desk.begin(now);
        changed.signalAll();
      } finally {
        lock.unlock();
      }
      tell(late);
      if (!batch.isEmpty()) {
        tell(carryOut(batch));
      }
    }
  }

  private List<WriteDesk.Told<Consumer<Write.Answer>>> carryOut(
      List<WriteDesk.Entry<Consumer<Write.Answer>>> batch) {
    List<Write.Answer> answers;
    String fault = null;
    try {
      answers = sheets.commit(batch.stream().map(WriteDesk.Entry::write).toList());
    } catch (SheetsException e) {
      boolean harmless = e.harmless();
      fault = harmless ? null : e.getMessage();
      Write.Answer all =
          harmless ? Write.Answer.refused(e.getMessage()) : Write.Answer.unknown(e.getMessage());
      answers = batch.stream().map(entry -> all).toList();
    }
    lock.lock();
    try {
      List<WriteDesk.Told<Consumer<Write.Answer>>> told =
          desk.ended(System.nanoTime(), batch, answers);
      if (fault != null) {
        // What the disk holds is not known any more: a new start has to look, not this process.
        told.addAll(desk.stop("the store has stopped: " + fault));
      }
      return told;
    } finally {
      lock.unlock();
    }
  }

  private void watchOn() {
    while (true) {
      List<WriteDesk.Told<Consumer<Write.Answer>>> told;
      lock.lock();
      try {
        if (closed) {
          return;
        }
        told = desk.expire(System.nanoTime());
        if (told.isEmpty()) {
          awaitNext();
        }
      } finally {
        lock.unlock();
      }
      tell(told);
    }
  }

  private void awaitNext() {
    long next = desk.nextExpiry();
    try {
      if (next == Long.MAX_VALUE) {
        changed.await();
      } else {
        changed.await(Math.max(1, next - System.nanoTime()), TimeUnit.NANOSECONDS);
      }
    } catch (InterruptedException e) {
      // Nobody interrupts these threads; they end by being told.
      Thread.currentThread().interrupt();
    }
  }

  private static void tell(List<WriteDesk.Told<Consumer<Write.Answer>>> told) {
    told.forEach(one -> one.asker().accept(one.answer()));
  }

  /** Refuses what waits, lets the transaction under way end, and closes the sheets. */
  @Override
  public void close() {
    List<WriteDesk.Told<Consumer<Write.Answer>>> told;
    lock.lock();
    try {
      told = desk.stop("the store ends");
      closed = true;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    tell(told);
    boolean interrupted = false;
    for (Thread thread : List.of(writer, watch)) {
      while (thread.isAlive()) {
        try {
          thread.join();
        } catch (InterruptedException e) {
          interrupted = true;
        }
      }
    }
    sheets.close();
    if (interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
