package beamspread.record;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Properties;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Leases in a file of SQLite. */
class SqliteLeasesTest extends LeaseContract {
  private static final int OPENERS = 8;
  private static final int ROUNDS = 40;

  @TempDir Path folder;

  @Override
  Store store() {
    return new SqliteStore(folder.resolve("leases.db"), new Properties());
  }

  /** Commands that start together: none fails since another is just making the file. */
  @Test
  void allThatOpenANewFileInTheSameMomentCan() throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(OPENERS);
    try {
      for (int round = 0; round < ROUNDS; round++) {
        Path file = folder.resolve("new-" + round + ".db");
        CyclicBarrier together = new CyclicBarrier(OPENERS);
        List<Future<?>> opened = new ArrayList<>();
        for (int i = 0; i < OPENERS; i++) {
          opened.add(
              threads.submit(
                  () -> {
                    together.await();
                    JdbcLeases.sqlite(file).close();
                    return null;
                  }));
        }
        for (Future<?> one : opened) {
          one.get(30, TimeUnit.SECONDS);
        }
      }
    } finally {
      threads.shutdownNow();
    }
  }
}
