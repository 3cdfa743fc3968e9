package beamspread.record;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.SQLException;
import java.util.Properties;
import java.util.concurrent.locks.LockSupport;
import org.sqlite.SQLiteConfig;
import org.sqlite.SQLiteDataSource;
import org.sqlite.SQLiteErrorCode;

/**
 * A file of SQLite. Write-ahead log, and {@code synchronous=FULL}: a commit is on the disk before
 * it is acknowledged (SQLite, "PRAGMA synchronous"). One connection, kept open.
 */
final class SqliteStore implements Store {
  /** How long a file that another process holds is waited for. */
  private static final int BUSY_MILLIS = 3000;

  private static final long OPEN_AGAIN_NANOS = 10_000_000L;

  private final Path file;
  private final SQLiteDataSource source;
  private Connection connection;

  SqliteStore(Path file, Properties pragmas) {
    this.file = file;
    SQLiteConfig config = new SQLiteConfig(pragmas);
    config.setJournalMode(SQLiteConfig.JournalMode.WAL);
    config.setSynchronous(SQLiteConfig.SynchronousMode.FULL);
    config.setBusyTimeout(BUSY_MILLIS);
    config.setTransactionMode(SQLiteConfig.TransactionMode.IMMEDIATE);
    source = new SQLiteDataSource(config);
    source.setUrl("jdbc:sqlite:" + file);
  }

  @Override
  public Connection connect() throws SQLException {
    if (connection == null || connection.isClosed()) {
      connection = open();
    }
    return kept(connection);
  }

  /**
   * Opens the file. The change of a new file to a write-ahead log fails at once where another
   * process makes the same change; SQLite's own wait does not cover it.
   */
  private Connection open() throws SQLException {
    long until = System.nanoTime() + BUSY_MILLIS * 1_000_000L;
    while (true) {
      try {
        return source.getConnection();
      } catch (SQLException e) {
        boolean busy = e.getErrorCode() == SQLiteErrorCode.SQLITE_BUSY.code;
        if (!busy || System.nanoTime() - until >= 0) {
          throw e;
        }
        LockSupport.parkNanos(OPEN_AGAIN_NANOS);
      }
    }
  }

  /** The connection, with a close that only ends what is under way on it. */
  private static Connection kept(Connection real) {
    InvocationHandler handler =
        (self, method, arguments) -> {
          if (method.getName().equals("close")) {
            try {
              if (!real.getAutoCommit()) {
                real.rollback();
                real.setAutoCommit(true);
              }
            } catch (SQLException e) {
              // SQLite has ended the transaction of itself, as it does on a full disk: the driver
              // no longer knows where it stands. The next use opens a new connection.
              real.close();
            }
            return null;
          }
          try {
            return method.invoke(real, arguments);
          } catch (InvocationTargetException e) {
            throw e.getCause();
          }
        };
    return (Connection)
        Proxy.newProxyInstance(
            SqliteStore.class.getClassLoader(), new Class<?>[] {Connection.class}, handler);
  }

  @Override
  public String clock() {
    return "CAST((julianday('now') - 2440587.5) * 86400000 AS BIGINT)";
  }

  @Override
  public String name() {
    return "SQLite file " + file;
  }

  @Override
  public void close() {
    try {
      if (connection != null) {
        connection.close();
      }
    } catch (SQLException e) {
      // All that was acknowledged is on the disk.
    }
  }
}
