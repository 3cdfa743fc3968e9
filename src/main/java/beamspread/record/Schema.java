package beamspread.record;

import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.List;

/**
 * The tables, as a list of migrations: a record of version n has had the first n. A migration that
 * has been released is never changed. The statements are those that SQLite and PostgreSQL share.
 */
final class Schema {
  private static final List<List<String>> MIGRATIONS =
      List.of(
          List.of(
              "CREATE TABLE agent (agent TEXT PRIMARY KEY, starts BIGINT NOT NULL,"
                  + " last_token BIGINT NOT NULL)",
              "CREATE TABLE operation (agent TEXT NOT NULL, id TEXT NOT NULL, kind TEXT NOT NULL,"
                  + " by_whom TEXT NOT NULL, plan TEXT NOT NULL, began_ms BIGINT NOT NULL,"
                  + " state TEXT NOT NULL, ended_ms BIGINT NOT NULL, PRIMARY KEY (agent, id))",
              "CREATE TABLE step (agent TEXT NOT NULL, operation TEXT NOT NULL,"
                  + " instance TEXT NOT NULL, attempt BIGINT NOT NULL, kind TEXT NOT NULL,"
                  + " token BIGINT NOT NULL, intent TEXT, began_ms BIGINT NOT NULL, outcome TEXT,"
                  + " reason TEXT, ended_ms BIGINT NOT NULL,"
                  + " PRIMARY KEY (agent, operation, instance, attempt))",
              "CREATE TABLE lease (agent TEXT NOT NULL, instance TEXT NOT NULL,"
                  + " token BIGINT NOT NULL, lease TEXT NOT NULL, operation TEXT NOT NULL,"
                  + " kind TEXT NOT NULL, by_whom TEXT NOT NULL, since_ms BIGINT NOT NULL,"
                  + " ttl_ms BIGINT NOT NULL, PRIMARY KEY (agent, instance))"),
          List.of(
              "CREATE TABLE instance (agent TEXT NOT NULL, name TEXT NOT NULL,"
                  + " run BIGINT NOT NULL, PRIMARY KEY (agent, name))",
              "CREATE INDEX operation_by_time ON operation (agent, began_ms)"),
          List.of(
              "CREATE TABLE fleet_lease (name TEXT PRIMARY KEY, holder TEXT NOT NULL,"
                  + " described TEXT NOT NULL, epoch BIGINT NOT NULL, acquired_ms BIGINT NOT NULL,"
                  + " expires_ms BIGINT NOT NULL)"));

  /** The version that this program writes. */
  static final int VERSION = MIGRATIONS.size();

  private Schema() {}

  /** Brings the tables up to this program's version, all at once; a newer one is left alone. */
  static void migrate(Connection connection, String where, long nowMillis)
      throws SQLException, RecordException {
    connection.setAutoCommit(false);
    try (Statement statement = connection.createStatement()) {
      statement.execute(
          "CREATE TABLE IF NOT EXISTS schema_version (version BIGINT NOT NULL,"
              + " applied_ms BIGINT NOT NULL)");
      long version = 0;
      try (ResultSet rows = statement.executeQuery("SELECT max(version) FROM schema_version")) {
        if (rows.next()) {
          version = rows.getLong(1);
        }
      }
      if (version > VERSION) {
        throw new RecordException(
            where
                + " has schema version "
                + version
                + ", this program knows up to "
                + VERSION
                + ": run a newer program, or name another record",
            null);
      }
      for (int next = (int) version; next < VERSION; next++) {
        for (String step : MIGRATIONS.get(next)) {
          statement.execute(step);
        }
        statement.execute(
            "INSERT INTO schema_version (version, applied_ms) VALUES ("
                + (next + 1)
                + ", "
                + nowMillis
                + ")");
      }
      connection.commit();
    } catch (SQLException | RecordException e) {
      connection.rollback();
      throw e;
    }
  }
}
