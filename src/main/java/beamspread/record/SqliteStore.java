package beamspread.record;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.SQLException;
import java.util.Properties;
import org.sqlite.SQLiteConfig;
import org.sqlite.SQLiteDataSource;

/**
 * A file of SQLite. Write-ahead log, and {@code synchronous=FULL}: a commit is on the disk before
 * it is acknowledged (SQLite, "PRAGMA synchronous"). One connection, kept open.
 */
final class SqliteStore implements Store {
  private final Path file;
  private final SQLiteDataSource source;
  private Connection connection;

  SqliteStore(Path file, Properties pragmas) {
    this.file = file;
    SQLiteConfig config = new SQLiteConfig(pragmas);
    config.setJournalMode(SQLiteConfig.JournalMode.WAL);
    config.setSynchronous(SQLiteConfig.SynchronousMode.FULL);
    config.setBusyTimeout(3000);
    config.setTransactionMode(SQLiteConfig.TransactionMode.IMMEDIATE);
    source = new SQLiteDataSource(config);
    source.setUrl("jdbc:sqlite:" + file);
  }

  @Override
  public Connection connect() throws SQLException {
    if (connection == null || connection.isClosed()) {
      connection = source.getConnection();
    }
    return kept(connection);
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
