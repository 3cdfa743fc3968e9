package beamspread.cli;

import beamspread.store.IdWindow;
import beamspread.store.SheetStore;
import beamspread.store.Sheets;
import beamspread.store.SheetsException;
import beamspread.store.SqliteSheets;
import beamspread.store.Write;
import beamspread.store.WriteDesk;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The store: what batches bring beside the disk's own limit, reads, and a disk that stands still.
 */
@Command(
    name = "store",
    description =
        "Writes sheets to a file of SQLite with one, sixteen and more in a transaction, and beside"
            + " it single blocks to a plain file, each forced to the disk; reads them; and lets the"
            + " disk stand still in the middle.",
    mixinStandardHelpOptions = true,
    footer = {"", "Example: ./beamspread measure store --seconds 5 --folder /var/tmp"})
final class MeasureStore implements Callable<Integer> {
  private static final int[] BATCHES = {1, 16, 128, 512};
  private static final int OUTSTANDING = 512;
  private static final int KEYS = 10_000;
  private static final long SECOND = 1_000_000_000L;

  @Option(names = "--seconds", defaultValue = "5", description = "of each (default: 5)")
  private int seconds;

  @Option(names = "--stall", defaultValue = "10", description = "seconds (default: 10)")
  private int stall;

  @Option(names = "--folder", description = "on the disk to measure (default: a temporary one)")
  private Path folder;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  private int ids;

  /** Sheets whose transactions are counted, before a disk that can be made to stand still. */
  private record Watched(Sheets sheets, Semaphore disk, AtomicInteger transactions)
      implements Sheets {
    @Override
    public List<Write.Answer> commit(List<Write> batch) throws SheetsException {
      transactions.incrementAndGet();
      disk.acquireUninterruptibly();
      try {
        return sheets.commit(batch);
      } finally {
        disk.release();
      }
    }

    @Override
    public Optional<Sheet> read(String key) throws SheetsException {
      return sheets.read(key);
    }

    @Override
    public void close() {
      sheets.close();
    }
  }

  @Override
  public Integer call() throws Exception {
    Bounds.check(spec.commandLine(), "--seconds", seconds, 1, 600);
    Bounds.check(spec.commandLine(), "--stall", stall, 1, 600);
    PrintWriter out = spec.commandLine().getOut();
    try (Scratch scratch = folder == null ? new Scratch() : new Scratch(folder)) {
      Path at = scratch.folder();
      Table table = new Table("WRITES", "A SECOND", "P50 MS", "P99 MS", "A TRANSACTION");
      plain(at, table);
      for (int batch : BATCHES) {
        writes(at, batch, table);
      }
      table.print(out);
      out.println();
      reads(at, out);
      stall(at, out);
    }
    return 0;
  }

  /** What the disk itself does: blocks of 4 KiB behind each other, each forced. */
  private void plain(Path at, Table table) throws IOException {
    Histogram times = new Histogram(3);
    long until = System.nanoTime() + seconds * SECOND;
    try (FileChannel file =
        FileChannel.open(
            at.resolve("plain"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      while (System.nanoTime() - until < 0) {
        long began = System.nanoTime();
        file.write(ByteBuffer.allocate(4096));
        file.force(false);
        times.recordValue((System.nanoTime() - began) / 1000);
      }
    }
    row(table, "plain file, forced each", times, 1);
  }

  private void row(Table table, String what, Histogram times, double each) {
    table.row(
        what,
        Table.decimal((double) times.getTotalCount() / seconds, 0),
        Table.decimal(times.getValueAtPercentile(50) / 1e3, 2),
        Table.decimal(times.getValueAtPercentile(99) / 1e3, 2),
        Table.decimal(each, 1));
  }

  private Write next(long deadline) {
    int id = ids++;
    return new Write("id" + id, false, "key" + id % KEYS, new byte[200], deadline);
  }

  private static SqliteSheets open(Path at, String name) throws SheetsException {
    return new SqliteSheets(at.resolve(name), new IdWindow(600_000), System::currentTimeMillis);
  }

  private static Watched watched(Path at, String name) throws SheetsException {
    return new Watched(open(at, name), new Semaphore(1), new AtomicInteger());
  }

  private void writes(Path at, int batch, Table table) throws Exception {
    Histogram times = new Histogram(3);
    Semaphore free = new Semaphore(OUTSTANDING);
    Watched sheets = watched(at, "sheets" + batch + ".db");
    try (SheetStore store =
        new SheetStore(sheets, new WriteDesk.Limits(OUTSTANDING, batch, 60 * SECOND))) {
      long until = System.nanoTime() + seconds * SECOND;
      while (System.nanoTime() - until < 0) {
        free.acquire();
        long began = System.nanoTime();
        store.write(
            next(began + 60 * SECOND),
            told -> {
              synchronized (times) {
                if (told.fate() == Write.Fate.STORED) {
                  times.recordValue((System.nanoTime() - began) / 1000);
                }
              }
              free.release();
            });
      }
      free.acquire(OUTSTANDING);
    }
    String what = batch == 1 ? "one in a transaction" : "up to " + batch + " in one";
    row(
        table,
        what,
        times,
        (double) times.getTotalCount() / Math.max(1, sheets.transactions().get()));
  }

  private void reads(Path at, PrintWriter out) throws Exception {
    long count = 0;
    try (SqliteSheets sheets = open(at, "sheets128.db")) {
      long until = System.nanoTime() + seconds * SECOND;
      while (System.nanoTime() - until < 0) {
        sheets.read("key" + count++ % KEYS);
      }
    }
    out.println("reads, one after the other: " + count / seconds + " a second");
  }

  /** 200 writes and 200 reads a second, each with a second to be answered in. */
  private void stall(Path at, PrintWriter out) throws Exception {
    Map<Write.Fate, Integer> fates = new EnumMap<>(Write.Fate.class);
    Histogram late = new Histogram(3);
    Histogram reads = new Histogram(3);
    Watched sheets = watched(at, "stalled.db");
    try (SheetStore store = new SheetStore(sheets, new WriteDesk.Limits(1024, 128, SECOND / 2))) {
      long began = System.nanoTime();
      boolean still = false;
      for (int tick = 0; tick < 200 * (stall + 4); tick++) {
        long now = began + tick * SECOND / 200;
        while (System.nanoTime() - now < 0) {
          TimeUnit.MICROSECONDS.sleep(200);
        }
        if (!still && tick == 400) {
          sheets.disk().acquire();
          still = true;
        } else if (still && tick == 200 * (stall + 2)) {
          sheets.disk().release();
        }
        long sent = System.nanoTime();
        store.write(
            next(sent + SECOND),
            told -> {
              synchronized (fates) {
                fates.merge(told.fate(), 1, Integer::sum);
                late.recordValue(Math.max(0, System.nanoTime() - sent - SECOND) / 1000);
              }
            });
        long asked = System.nanoTime();
        store.read("key" + tick % KEYS);
        reads.recordValue((System.nanoTime() - asked) / 1000);
      }
    }
    out.printf(
        "through %d s of a disk that stands still: %s of 200 writes a second; the latest answer"
            + " %.1f ms after its time; reads' 99th percentile %.2f ms%n",
        stall, fates, late.getMaxValue() / 1e3, reads.getValueAtPercentile(99) / 1e3);
  }
}
