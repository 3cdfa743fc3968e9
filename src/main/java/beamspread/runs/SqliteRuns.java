package beamspread.runs;

import beamspread.fleet.api.Json;
import beamspread.lab.Result;
import beamspread.lab.Runs;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import org.sqlite.SQLiteConfig;
import org.sqlite.SQLiteDataSource;

/**
 * Runs in a file of SQLite. A run is on the disk once {@link #keep} returns (write-ahead log,
 * {@code synchronous=FULL}); several processes may share a file, and the first result of a run
 * stays. Runs of another build of this program are others: it may decide otherwise.
 */
public final class SqliteRuns implements Runs, AutoCloseable {
  private static final int VERSION = 1;

  /** The file can't be used; the message says why and names it. */
  public static final class RunsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    RunsException(String message, Throwable cause) {
      super(message, cause);
    }
  }

  private final Path file;
  private final String program;
  private final Connection connection;
  private int found;

  /**
   * Opens a file, or makes it.
   *
   * @param program what tells builds of this program apart
   */
  public SqliteRuns(Path file, String program) {
    this.file = file;
    this.program = program;
    Path folder = file.toAbsolutePath().getParent();
    if (!Files.isDirectory(folder)) {
      throw new RunsException(file + ": there is no folder " + folder, null);
    }
    SQLiteConfig config = new SQLiteConfig();
    config.setJournalMode(SQLiteConfig.JournalMode.WAL);
    config.setSynchronous(SQLiteConfig.SynchronousMode.FULL);
    config.setBusyTimeout(10_000);
    SQLiteDataSource source = new SQLiteDataSource(config);
    source.setUrl("jdbc:sqlite:" + file);
    Connection opened = null;
    try {
      opened = source.getConnection();
      prepare(opened);
      connection = opened;
    } catch (SQLException e) {
      close(opened);
      throw new RunsException(file + ": " + e.getMessage(), e);
    } catch (RunsException e) {
      close(opened);
      throw e;
    }
  }

  private void prepare(Connection opened) throws SQLException {
    try (Statement statement = opened.createStatement()) {
      int version;
      try (ResultSet rows = statement.executeQuery("PRAGMA user_version")) {
        version = rows.getInt(1);
      }
      if (version > VERSION) {
        throw new RunsException(
            file
                + " has version "
                + version
                + ", this program knows up to "
                + VERSION
                + ": run a newer program, or name another file",
            null);
      }
      statement.execute(
          "CREATE TABLE IF NOT EXISTS run (program TEXT NOT NULL, fleet TEXT NOT NULL,"
              + " seed INTEGER NOT NULL, warm REAL NOT NULL, seconds REAL NOT NULL,"
              + " result TEXT NOT NULL, PRIMARY KEY (program, fleet, seed, warm, seconds))");
      statement.execute("PRAGMA user_version = " + VERSION);
    }
  }

  private void bind(PreparedStatement statement, Key key) throws SQLException {
    statement.setString(1, program);
    statement.setString(2, key.fleet());
    statement.setLong(3, key.seed());
    statement.setDouble(4, key.warmSeconds());
    statement.setDouble(5, key.seconds());
  }

  @Override
  public synchronized Result find(Key key) {
    try (PreparedStatement select =
        connection.prepareStatement(
            "SELECT result FROM run WHERE program = ? AND fleet = ? AND seed = ? AND warm = ?"
                + " AND seconds = ?")) {
      bind(select, key);
      try (ResultSet rows = select.executeQuery()) {
        if (!rows.next()) {
          return null;
        }
        Result result = Json.read(rows.getString(1), Result.class);
        found++;
        return result;
      }
    } catch (SQLException | Json.BadJsonException e) {
      throw new RunsException(file + ": " + e.getMessage(), e);
    }
  }

  @Override
  public synchronized void keep(Key key, Result result) {
    try (PreparedStatement insert =
        connection.prepareStatement(
            "INSERT INTO run (program, fleet, seed, warm, seconds, result)"
                + " VALUES (?, ?, ?, ?, ?, ?) ON CONFLICT DO NOTHING")) {
      bind(insert, key);
      insert.setString(6, Json.text(result));
      insert.executeUpdate();
    } catch (SQLException e) {
      throw new RunsException(file + ": " + e.getMessage(), e);
    }
  }

  /** How many runs were found and not played. */
  public synchronized int found() {
    return found;
  }

  private static void close(Connection connection) {
    try {
      if (connection != null) {
        connection.close();
      }
    } catch (SQLException e) {
      // All that was kept is on the disk.
    }
  }

  @Override
  public synchronized void close() {
    close(connection);
  }
}
