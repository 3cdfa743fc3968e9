package beamspread.record;

import com.zaxxer.hikari.HikariConfig;
import com.zaxxer.hikari.HikariDataSource;
import java.sql.Connection;
import java.sql.SQLException;

/** A PostgreSQL database, through a small pool. Every wait has a limit. */
final class PostgresStore implements Store {
  private final String url;
  private final HikariDataSource pool;

  /**
   * @param limitMillis the longest wait for a connection, and for an answer on one
   */
  PostgresStore(String url, String user, String password, long limitMillis) {
    this.url = url;
    HikariConfig config = new HikariConfig();
    config.setJdbcUrl(url);
    config.setUsername(user);
    config.setPassword(password);
    config.setMaximumPoolSize(2);
    config.setMinimumIdle(0);
    config.setInitializationFailTimeout(-1);
    config.setConnectionTimeout(Math.max(250, limitMillis));
    config.setValidationTimeout(Math.max(250, limitMillis / 2));
    config.setPoolName("record");
    long seconds = Math.max(1, (limitMillis + 999) / 1000);
    config.addDataSourceProperty("socketTimeout", Long.toString(seconds));
    config.addDataSourceProperty("connectTimeout", Long.toString(seconds));
    config.addDataSourceProperty("loginTimeout", Long.toString(seconds));
    config.addDataSourceProperty("cancelSignalTimeout", Long.toString(seconds));
    config.addDataSourceProperty("ApplicationName", "beamspread");
    pool = new HikariDataSource(config);
  }

  @Override
  public Connection connect() throws SQLException {
    return pool.getConnection();
  }

  @Override
  public String clock() {
    return "CAST(extract(epoch FROM clock_timestamp()) * 1000 AS BIGINT)";
  }

  @Override
  public String name() {
    return url;
  }

  @Override
  public void close() {
    pool.close();
  }
}
