package beamspread.record;

import java.nio.file.Path;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.util.List;
import java.util.Optional;
import java.util.Properties;

/** The record in a database, by statements that SQLite and PostgreSQL both understand. */
public final class JdbcRecord implements FleetRecord {
  private final Database database;
  private final String agent;

  private JdbcRecord(Database database, String agent) {
    this.database = database;
    this.agent = agent;
  }

  /** The record of this agent in a file, which is made if need be. */
  public static JdbcRecord sqlite(Path file, String agent) throws RecordException {
    return sqlite(file, agent, new Properties());
  }

  static JdbcRecord sqlite(Path file, String agent, Properties pragmas) throws RecordException {
    return open(new SqliteStore(file, pragmas), agent);
  }

  /**
   * The record of this agent in a PostgreSQL database, which many agents may share.
   *
   * @param url as JDBC has it, {@code jdbc:postgresql://HOST:PORT/DATABASE}
   * @param limitMillis the longest wait for a connection, and for an answer on one
   */
  public static JdbcRecord postgres(
      String url, String user, String password, String agent, long limitMillis)
      throws RecordException {
    return open(new PostgresStore(url, user, password, limitMillis), agent);
  }

  private static JdbcRecord open(Store store, String agent) throws RecordException {
    return new JdbcRecord(Database.open(store), agent);
  }

  @Override
  public long starts() throws RecordException {
    return database
        .read("SELECT starts FROM agent WHERE agent = ?", row -> row.getLong(1), agent)
        .stream()
        .findFirst()
        .orElse(0L);
  }

  @Override
  public void started(long number) throws RecordException {
    database.write(
        connection ->
            Database.update(
                connection,
                "INSERT INTO agent (agent, starts, last_token) VALUES (?, ?, 0)"
                    + " ON CONFLICT (agent) DO UPDATE SET starts ="
                    + " CASE WHEN agent.starts > excluded.starts THEN agent.starts"
                    + " ELSE excluded.starts END",
                agent,
                number));
  }

  @Override
  public void commit(List<RecordChange> changes) throws RecordException {
    database.write(
        connection -> {
          for (RecordChange change : changes) {
            apply(connection, change);
          }
          return null;
        });
  }

  private void apply(Connection to, RecordChange change) throws SQLException {
    if (change instanceof RecordChange.OperationBegun c) {
      Database.update(
          to,
          "INSERT INTO operation (agent, id, kind, by_whom, plan, began_ms, state, ended_ms)"
              + " VALUES (?, ?, ?, ?, ?, ?, 'begun', 0)"
              + " ON CONFLICT (agent, id) DO UPDATE SET state = 'begun', ended_ms = 0",
          agent,
          c.id(),
          c.kind(),
          c.by(),
          c.plan(),
          c.atMillis());
    } else if (change instanceof RecordChange.OperationEnded c) {
      Database.update(
          to,
          "UPDATE operation SET state = ?, ended_ms = ? WHERE agent = ? AND id = ?",
          c.state(),
          c.atMillis(),
          agent,
          c.id());
    } else if (change instanceof RecordChange.StepBegun c) {
      Database.update(
          to,
          "INSERT INTO step (agent, operation, instance, attempt, kind, token, began_ms, ended_ms)"
              + " VALUES (?, ?, ?, ?, ?, ?, ?, 0)"
              + " ON CONFLICT (agent, operation, instance, attempt) DO NOTHING",
          agent,
          c.operation(),
          c.instance(),
          c.attempt(),
          c.kind(),
          c.token(),
          c.atMillis());
    } else if (change instanceof RecordChange.StepIntends c) {
      Database.update(
          to,
          "UPDATE step SET intent = ?"
              + " WHERE agent = ? AND operation = ? AND instance = ? AND attempt = ?",
          c.intent(),
          agent,
          c.operation(),
          c.instance(),
          c.attempt());
    } else if (change instanceof RecordChange.StepEnded c) {
      // The first end stays: what was told once is never told otherwise.
      Database.update(
          to,
          "UPDATE step SET outcome = ?, reason = ?, ended_ms = ?"
              + " WHERE agent = ? AND operation = ? AND instance = ? AND attempt = ?"
              + " AND outcome IS NULL",
          c.outcome(),
          c.reason(),
          c.atMillis(),
          agent,
          c.operation(),
          c.instance(),
          c.attempt());
    } else if (change instanceof RecordChange.LeaseTaken c) {
      Database.update(
          to,
          "INSERT INTO agent (agent, starts, last_token) VALUES (?, 0, ?)"
              + " ON CONFLICT (agent) DO UPDATE SET last_token ="
              + " CASE WHEN agent.last_token > excluded.last_token THEN agent.last_token"
              + " ELSE excluded.last_token END",
          agent,
          c.token());
      Database.update(
          to,
          "INSERT INTO lease (agent, instance, token, lease, operation, kind, by_whom, since_ms,"
              + " ttl_ms) VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)"
              + " ON CONFLICT (agent, instance) DO UPDATE SET token = excluded.token,"
              + " lease = excluded.lease, operation = excluded.operation, kind = excluded.kind,"
              + " by_whom = excluded.by_whom, since_ms = excluded.since_ms,"
              + " ttl_ms = excluded.ttl_ms",
          agent,
          c.instance(),
          c.token(),
          c.lease(),
          c.operation(),
          c.kind(),
          c.by(),
          c.sinceMillis(),
          c.ttlMillis());
    } else if (change instanceof RecordChange.LeaseEnded c) {
      Database.update(
          to,
          "DELETE FROM lease WHERE agent = ? AND instance = ? AND token = ?",
          agent,
          c.instance(),
          c.token());
    } else if (change instanceof RecordChange.InstanceDesired c) {
      Database.update(
          to,
          "INSERT INTO instance (agent, name, run) VALUES (?, ?, ?)"
              + " ON CONFLICT (agent, name) DO UPDATE SET run = excluded.run",
          agent,
          c.instance(),
          c.run() ? 1L : 0L);
    }
  }

  @Override
  public List<Rows.Operation> operations(int most) throws RecordException {
    return database.read(
        "SELECT id, kind, by_whom, plan, began_ms, state, ended_ms FROM operation"
            + " WHERE agent = ? ORDER BY began_ms DESC, id LIMIT ?",
        JdbcRecord::operation,
        agent,
        (long) most);
  }

  @Override
  public Optional<Rows.Operation> operation(String id) throws RecordException {
    return database
        .read(
            "SELECT id, kind, by_whom, plan, began_ms, state, ended_ms FROM operation"
                + " WHERE agent = ? AND id = ?",
            JdbcRecord::operation,
            agent,
            id)
        .stream()
        .findFirst();
  }

  private static Rows.Operation operation(ResultSet row) throws SQLException {
    return new Rows.Operation(
        row.getString(1),
        row.getString(2),
        row.getString(3),
        row.getString(4),
        row.getLong(5),
        row.getString(6),
        row.getLong(7));
  }

  private static final String STEP =
      "SELECT operation, instance, attempt, kind, token, intent, began_ms, outcome, reason,"
          + " ended_ms FROM step WHERE agent = ? AND ";

  @Override
  public List<Rows.Step> steps(String operation) throws RecordException {
    return database.read(
        STEP + "operation = ? ORDER BY instance, attempt", JdbcRecord::step, agent, operation);
  }

  @Override
  public List<Rows.Step> openSteps() throws RecordException {
    return database.read(
        STEP + "outcome IS NULL ORDER BY began_ms, instance", JdbcRecord::step, agent);
  }

  private static Rows.Step step(ResultSet row) throws SQLException {
    return new Rows.Step(
        row.getString(1),
        row.getString(2),
        row.getInt(3),
        row.getString(4),
        row.getLong(5),
        row.getString(6),
        row.getLong(7),
        row.getString(8),
        row.getString(9),
        row.getLong(10));
  }

  @Override
  public List<Rows.Lease> leases() throws RecordException {
    return database.read(
        "SELECT instance, token, lease, operation, kind, by_whom, since_ms, ttl_ms FROM lease"
            + " WHERE agent = ? ORDER BY instance",
        row ->
            new Rows.Lease(
                row.getString(1),
                row.getLong(2),
                row.getString(3),
                row.getString(4),
                row.getString(5),
                row.getString(6),
                row.getLong(7),
                row.getLong(8)),
        agent);
  }

  @Override
  public long lastToken() throws RecordException {
    return database
        .read("SELECT last_token FROM agent WHERE agent = ?", row -> row.getLong(1), agent)
        .stream()
        .findFirst()
        .orElse(0L);
  }

  @Override
  public List<Rows.Instance> instances() throws RecordException {
    return database.read(
        "SELECT name, run FROM instance WHERE agent = ? ORDER BY name",
        row -> new Rows.Instance(row.getString(1), row.getLong(2) != 0),
        agent);
  }

  @Override
  public int prune(int keep) throws RecordException {
    return database.write(
        connection -> {
          String old =
              " (SELECT id FROM operation WHERE agent = ? AND ended_ms > 0"
                  + " ORDER BY began_ms DESC, id LIMIT 100000 OFFSET ?)";
          Database.update(
              connection,
              "DELETE FROM step WHERE agent = ? AND operation IN" + old,
              agent,
              agent,
              (long) keep);
          return Database.update(
              connection,
              "DELETE FROM operation WHERE agent = ? AND id IN" + old,
              agent,
              agent,
              (long) keep);
        });
  }

  @Override
  public void close() {
    database.close();
  }
}
