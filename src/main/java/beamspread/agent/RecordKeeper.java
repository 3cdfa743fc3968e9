package beamspread.agent;

import beamspread.record.FleetRecord;
import beamspread.record.RecordChange;
import beamspread.record.RecordException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * Owns the record on a thread of its own. What waits is written together, so that thirty steps that
 * end at once cost one commit; the order of the calls is kept.
 */
final class RecordKeeper implements AutoCloseable {
  /** The name of its thread. */
  static final String THREAD = "record";

  private static final int MOST_WAITING = 4096;
  private static final int MOST_TOGETHER = 256;

  /** After so many writes old operations are looked through. */
  private static final int PRUNE_EVERY = 200;

  private interface Reading {
    void run() throws RecordException;
  }

  /** A write, or a reading: then there are no changes. */
  private record Job(List<RecordChange> changes, Reading reading, CompletableFuture<?> done) {}

  private final FleetRecord record;
  private final int keep;
  private final BlockingQueue<Job> waiting = new LinkedBlockingQueue<>(MOST_WAITING);
  private final Thread thread = new Thread(this::run, THREAD);
  private volatile boolean closed;
  private volatile String trouble;
  private int writes;

  /**
   * @param keep how many operations that have ended are kept
   */
  RecordKeeper(FleetRecord record, int keep) {
    this.record = record;
    this.keep = keep;
    thread.start();
  }

  /** What went wrong with the last use; null if nothing did. */
  String trouble() {
    return trouble;
  }

  /** Writes changes; the future fails if they may not have been written. */
  CompletableFuture<Void> write(List<RecordChange> changes) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    offer(new Job(List.copyOf(changes), null, done));
    return done;
  }

  /** What is read from a record. */
  interface Query<T> {
    T of(FleetRecord record) throws RecordException;
  }

  /** Reads, after all writes before it. */
  <T> CompletableFuture<T> read(Query<T> query) {
    CompletableFuture<T> done = new CompletableFuture<>();
    offer(new Job(List.of(), () -> done.complete(query.of(record)), done));
    return done;
  }

  private void offer(Job job) {
    if (closed || !waiting.offer(job)) {
      job.done.completeExceptionally(
          new RecordException("record: too much waits for it, or it is closed", null));
    }
  }

  private void run() {
    List<Job> batch = new ArrayList<>();
    while (true) {
      try {
        batch.add(waiting.take());
      } catch (InterruptedException e) {
        break;
      }
      waiting.drainTo(batch, MOST_TOGETHER - 1);
      work(batch);
      batch.clear();
      if (closed && waiting.isEmpty()) {
        break;
      }
    }
    record.close();
  }

  private void work(List<Job> batch) {
    List<RecordChange> changes = new ArrayList<>();
    batch.forEach(job -> changes.addAll(job.changes));
    RecordException failed = null;
    if (!changes.isEmpty()) {
      failed = commit(changes);
      trouble = failed == null ? null : failed.getMessage();
    }
    for (Job job : batch) {
      if (job.reading == null) {
        if (failed == null) {
          job.done.complete(null);
        } else {
          job.done.completeExceptionally(failed);
        }
      } else {
        try {
          job.reading.run();
        } catch (RecordException | RuntimeException e) {
          trouble = e.getMessage();
          job.done.completeExceptionally(e);
        }
      }
    }
    if (failed == null && (writes += batch.size()) >= PRUNE_EVERY) {
      writes = 0;
      try {
        record.prune(keep);
      } catch (RecordException | RuntimeException e) {
        trouble = e.getMessage();
      }
    }
  }

  /** Returns why the changes may not have been written; null if they were. */
  private RecordException commit(List<RecordChange> changes) {
    try {
      record.commit(changes);
      return null;
    } catch (RecordException e) {
      return e;
    } catch (RuntimeException e) {
      // Would end this thread, and every later call would wait for ever.
      return new RecordException("record: " + e, e);
    }
  }

  /** Writes what waits and ends. */
  @Override
  public void close() {
    closed = true;
    waiting.offer(new Job(List.of(), null, new CompletableFuture<>()));
    try {
      thread.join(10_000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
