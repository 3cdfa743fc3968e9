package beamspread.standin.postgres;

import java.sql.SQLException;

/** An error as PostgreSQL tells it (documentation, appendix "PostgreSQL Error Codes"). */
final class PgError extends Exception {
  private static final long serialVersionUID = 1L;

  final String sqlState;

  PgError(String sqlState, String message) {
    super(message);
    this.sqlState = sqlState;
  }

  /** What PostgreSQL would have said to what SQLite says. */
  static PgError of(SQLException e) {
    String text = String.valueOf(e.getMessage());
    String state = "XX000";
    if (text.contains("UNIQUE constraint") || text.contains("PRIMARYKEY")) {
      state = "23505";
    } else if (text.contains("NOT NULL constraint")) {
      state = "23502";
    } else if (text.contains("no such table")) {
      state = "42P01";
    } else if (text.contains("already exists")) {
      state = "42P07";
    } else if (text.contains("no such column")) {
      state = "42703";
    } else if (text.contains("syntax error")) {
      state = "42601";
    } else if (text.contains("SQLITE_FULL")) {
      state = "53100";
    }
    return new PgError(state, text);
  }
}
