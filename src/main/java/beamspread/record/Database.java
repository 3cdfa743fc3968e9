package beamspread.record;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;

/** Statements on a store whose tables are those of this program's {@link Schema}. */
final class Database implements AutoCloseable {
  /** A commit is tried so often: the second time heals a connection that broke under it. */
  private static final int TRIES = 2;

  private final Store store;

  private Database(Store store) {
    this.store = store;
  }

  /** Opens a store and brings its tables up to date; closes it where that fails. */
  static Database open(Store store) throws RecordException {
    Database database = new Database(store);
    try (Connection connection = store.connect()) {
      Schema.migrate(connection, store.name(), System.currentTimeMillis());
    } catch (SQLException | RuntimeException e) {
      database.close();
      throw database.failure("cannot be opened", e);
    } catch (RecordException e) {
      database.close();
      throw e;
    }
    return database;
  }

  private RecordException failure(String what, Exception cause) {
    return new RecordException(
        "record: " + store.name() + " " + what + ": " + reason(cause), cause);
  }

  private static String reason(Throwable cause) {
    Throwable last = cause;
    for (int i = 0; i < 8 && last.getCause() != null; i++) {
      last = last.getCause();
    }
    return last.getMessage() == null
        ? last.toString()
        : last.getMessage().lines().findFirst().orElse("");
  }

  /** What is done on one connection. */
  interface Work<T> {
    T on(Connection connection) throws SQLException;
  }

  /** Reads a row. */
  interface RowReader<T> {
    T read(ResultSet row) throws SQLException;
  }

  /** Does something in one transaction; tried again once where its connection broke. */
  <T> T write(Work<T> work) throws RecordException {
    SQLException last = null;
    for (int i = 0; i < TRIES; i++) {
      try (Connection connection = store.connect()) {
        connection.setAutoCommit(false);
        T result = work.on(connection);
        connection.commit();
        connection.setAutoCommit(true);
        return result;
      } catch (SQLException e) {
        last = e;
      }
    }
    throw failure("could not be written", last);
  }

  /** The rows of a query. */
  <T> List<T> read(String sql, RowReader<T> reader, Object... values) throws RecordException {
    SQLException last = null;
    for (int i = 0; i < TRIES; i++) {
      try (Connection connection = store.connect()) {
        return query(connection, sql, reader, values);
      } catch (SQLException e) {
        last = e;
      }
    }
    throw failure("could not be read", last);
  }

  /** The rows of a query, as this connection's transaction sees them. */
  static <T> List<T> query(Connection connection, String sql, RowReader<T> reader, Object... values)
      throws SQLException {
    try (PreparedStatement statement = prepare(connection, sql, values);
        ResultSet rows = statement.executeQuery()) {
      List<T> found = new ArrayList<>();
      while (rows.next()) {
        found.add(reader.read(rows));
      }
      return found;
    }
  }

  /** Carries a statement out; returns how many rows it changed. */
  static int update(Connection connection, String sql, Object... values) throws SQLException {
    try (PreparedStatement statement = prepare(connection, sql, values)) {
      return statement.executeUpdate();
    }
  }

  static PreparedStatement prepare(Connection connection, String sql, Object... values)
      throws SQLException {
    PreparedStatement statement = connection.prepareStatement(sql);
    try {
      for (int i = 0; i < values.length; i++) {
        if (values[i] instanceof String text) {
          statement.setString(i + 1, text);
        } else if (values[i] instanceof Number number) {
          statement.setLong(i + 1, number.longValue());
        } else {
          statement.setNull(i + 1, java.sql.Types.VARCHAR);
        }
      }
      return statement;
    } catch (SQLException e) {
      statement.close();
      throw e;
    }
  }

  /** An expression of the database's own clock, in whole Unix milliseconds. */
  String clock() {
    return store.clock();
  }

  @Override
  public void close() {
    store.close();
  }
}
