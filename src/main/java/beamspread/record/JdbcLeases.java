package beamspread.record;

import beamspread.lease.FencingToken;
import beamspread.lease.Lease;
import beamspread.lease.LeaseHeldException;
import beamspread.lease.LeaseStore;
import beamspread.lease.LeaseStoreException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.util.List;
import java.util.Optional;
import java.util.Properties;

/**
 * Leases in the fleet's record. Each change names the epoch that it was decided on, so that of two
 * that want a lease in the same moment one gets it; the other reads again.
 */
public final class JdbcLeases implements LeaseStore {
  /** How often a change is decided anew, since somebody else's came in between. */
  private static final int ATTEMPTS = 8;

  private final Database database;
  private final String select;

  private JdbcLeases(Database database) {
    this.database = database;
    this.select =
        "SELECT name, holder, described, epoch, acquired_ms, expires_ms, "
            + database.clock()
            + " FROM fleet_lease";
  }

  /** The leases in a file, which is made if need be. For processes of one machine. */
  public static JdbcLeases sqlite(Path file) throws LeaseStoreException {
    return open(new SqliteStore(file, new Properties()));
  }

  /**
   * The leases in a PostgreSQL database.
   *
   * @param limitMillis the longest wait for a connection, and for an answer on one
   */
  public static JdbcLeases postgres(String url, String user, String password, long limitMillis)
      throws LeaseStoreException {
    return open(new PostgresStore(url, user, password, limitMillis));
  }

  /** The leases in this store, which is closed with them. */
  static JdbcLeases open(Store store) throws LeaseStoreException {
    try {
      return new JdbcLeases(Database.open(store));
    } catch (RecordException e) {
      throw failure(e);
    }
  }

  private static LeaseStoreException failure(RecordException e) {
    return new LeaseStoreException("leases: " + e.getMessage(), e);
  }

  private interface Change<T> {
    T on(Connection connection) throws SQLException;
  }

  private <T> T change(Change<T> change) throws LeaseStoreException {
    try {
      return database.write(change::on);
    } catch (RecordException e) {
      throw failure(e);
    }
  }

  private static void checkHolder(String what, String text) {
    int bytes = text.getBytes(StandardCharsets.UTF_8).length;
    if (text.isBlank() || bytes > LONGEST_HOLDER) {
      throw new IllegalArgumentException(
          what + " must have 1 to " + LONGEST_HOLDER + " bytes, has " + bytes);
    }
  }

  private static void checkName(String name) {
    if (!FencingToken.isName(name)) {
      throw new IllegalArgumentException("'" + name + "' is no name of a lease");
    }
  }

  @Override
  public synchronized Lease acquire(
      String name, String holder, String described, long durationMillis, boolean takeOver)
      throws LeaseHeldException, LeaseStoreException {
    checkName(name);
    checkHolder("a holder", holder);
    checkHolder("a holder's description", described);
    for (int i = 0; i < ATTEMPTS; i++) {
      Optional<Lease> before = find(name);
      if (before.isPresent()) {
        Lease lease = before.get();
        boolean mine = lease.held() && lease.holder().equals(holder);
        if (mine && renew(lease.token(), holder, durationMillis)) {
          return lease;
        }
        if (lease.held() && !mine && !takeOver) {
          throw new LeaseHeldException(lease);
        }
      }
      long epoch = before.map(Lease::epoch).orElse(0L);
      Optional<Lease> taken =
          change(on -> take(on, name, holder, described, epoch, durationMillis));
      if (taken.isPresent()) {
        return taken.get();
      }
      // Somebody else was faster, or this was done and its answer lost: the next look tells.
    }
    throw new LeaseStoreException("leases: " + name + " changes faster than it can be read", null);
  }

  /**
   * Makes this holder the owner after the one of this epoch, and reads what was written before
   * anybody else can change it; empty if the lease has another epoch by now.
   */
  private Optional<Lease> take(
      Connection on, String name, String holder, String described, long before, long durationMillis)
      throws SQLException {
    int changed =
        before == 0
            ? insert(on, name, holder, described, durationMillis)
            : update(on, name, holder, described, before, durationMillis);
    if (changed == 0) {
      return Optional.empty();
    }
    Lease written = readWritten(on, name);
    if (!written.holder().equals(holder) || written.epoch() != before + 1) {
      throw new SQLException("lease " + name + " was written and reads as another one");
    }
    return Optional.of(written);
  }

  private int insert(
      Connection on, String name, String holder, String described, long durationMillis)
      throws SQLException {
    String clock = database.clock();
    return Database.update(
        on,
        "INSERT INTO fleet_lease (name, holder, described, epoch, acquired_ms, expires_ms)"
            + " VALUES (?, ?, ?, 1, "
            + clock
            + ", "
            + clock
            + " + ?) ON CONFLICT (name) DO NOTHING",
        name,
        holder,
        described,
        durationMillis);
  }

  private int update(
      Connection on, String name, String holder, String described, long before, long durationMillis)
      throws SQLException {
    String clock = database.clock();
    return Database.update(
        on,
        "UPDATE fleet_lease SET holder = ?, described = ?, epoch = ?, acquired_ms = "
            + clock
            + ", expires_ms = "
            + clock
            + " + ? WHERE name = ? AND epoch = ?",
        holder,
        described,
        before + 1,
        durationMillis,
        name,
        before);
  }

  @Override
  public synchronized boolean renew(FencingToken token, String holder, long durationMillis)
      throws LeaseStoreException {
    String clock = database.clock();
    return change(
            on ->
                Database.update(
                    on,
                    "UPDATE fleet_lease SET expires_ms = "
                        + clock
                        + " + ? WHERE name = ? AND epoch = ? AND holder = ? AND expires_ms > "
                        + clock,
                    durationMillis,
                    token.name(),
                    token.epoch(),
                    holder))
        == 1;
  }

  @Override
  public synchronized boolean release(FencingToken token, String holder)
      throws LeaseStoreException {
    return change(
            on ->
                Database.update(
                    on,
                    "UPDATE fleet_lease SET holder = '', expires_ms = 0"
                        + " WHERE name = ? AND epoch = ? AND holder = ? AND holder <> ''",
                    token.name(),
                    token.epoch(),
                    holder))
        == 1;
  }

  @Override
  public synchronized Lease raise(String name, long epoch) throws LeaseStoreException {
    FencingToken least = new FencingToken(name, epoch);
    return change(
        on -> {
          Database.update(
              on,
              "INSERT INTO fleet_lease (name, holder, described, epoch, acquired_ms, expires_ms)"
                  + " VALUES (?, '', 'raised', ?, 0, 0) ON CONFLICT (name) DO UPDATE SET"
                  + " holder = '', described = 'raised', expires_ms = 0, epoch ="
                  + " CASE WHEN fleet_lease.epoch > excluded.epoch THEN fleet_lease.epoch"
                  + " ELSE excluded.epoch END",
              least.name(),
              least.epoch());
          return readWritten(on, name);
        });
  }

  @Override
  public synchronized Optional<Lease> find(String name) throws LeaseStoreException {
    return read(" WHERE name = ?", name).stream().findFirst();
  }

  @Override
  public synchronized List<Lease> all() throws LeaseStoreException {
    return read(" ORDER BY name");
  }

  /** Reads a lease in the transaction that has just written it. */
  private Lease readWritten(Connection on, String name) throws SQLException {
    return Database.query(on, select + " WHERE name = ?", JdbcLeases::lease, name).get(0);
  }

  private List<Lease> read(String which, Object... values) throws LeaseStoreException {
    try {
      return database.read(select + which, JdbcLeases::lease, values);
    } catch (RecordException e) {
      throw failure(e);
    }
  }

  private static Lease lease(ResultSet row) throws SQLException {
    return new Lease(
        row.getString(1),
        row.getString(2),
        row.getString(3),
        row.getLong(4),
        row.getLong(5),
        row.getLong(6),
        row.getLong(7));
  }

  @Override
  public synchronized void close() {
    database.close();
  }
}
