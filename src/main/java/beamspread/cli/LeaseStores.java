package beamspread.cli;

import beamspread.fleet.LeaseSettings;
import beamspread.lease.LeaseStore;
import beamspread.lease.LeaseStoreException;
import beamspread.record.JdbcLeases;
import java.io.IOException;
import java.nio.file.Files;

/** Opens the store of leases that an inventory names. */
final class LeaseStores {
  /** The longest wait for a connection to PostgreSQL, and for an answer on one. */
  private static final long LIMIT_MILLIS = 3000;

  private LeaseStores() {}

  /** The store, to be closed after use. */
  static LeaseStore open(LeaseSettings settings) throws LeaseStoreException {
    if (settings.file() != null) {
      return JdbcLeases.sqlite(settings.file());
    }
    try {
      String password = Files.readString(settings.passwordFile()).strip();
      return JdbcLeases.postgres(settings.url(), settings.user(), password, LIMIT_MILLIS);
    } catch (IOException e) {
      throw new LeaseStoreException("leases: " + settings.passwordFile() + " cannot be read", e);
    }
  }
}
