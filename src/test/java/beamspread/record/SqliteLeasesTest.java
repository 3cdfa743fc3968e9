package beamspread.record;

import beamspread.lease.LeaseStore;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;

/** Leases in a file of SQLite. */
class SqliteLeasesTest extends LeaseContract {
  @TempDir Path folder;

  @Override
  LeaseStore open() throws Exception {
    return JdbcLeases.sqlite(folder.resolve("leases.db"));
  }
}
