package beamspread.standin.postgres;

import java.util.function.Predicate;

/**
 * A fault that befalls the first statement that it fits, once.
 *
 * @param kind what happens
 * @param fits which statement it befalls
 * @param sqlState the error's code where an error is told
 */
public record PgFault(Kind kind, Predicate<String> fits, String sqlState) {

  /** What can happen. */
  public enum Kind {
    /** The connection breaks before the statement is run. */
    CUT_BEFORE,
    /** The statement is run and the connection breaks before that is told. */
    CUT_AFTER,
    /** The statement is run and an error is told all the same. */
    ERROR_AFTER,
    /** The statement is not run and an error is told. */
    ERROR_BEFORE,
    /** Nothing is run or told until {@link PgServer#release}. */
    STALL
  }

  /** On the next statement that contains this text, whatever its case. */
  public static PgFault on(Kind kind, String text) {
    String wanted = text.toLowerCase(java.util.Locale.ROOT);
    return new PgFault(
        kind, sql -> sql.toLowerCase(java.util.Locale.ROOT).contains(wanted), "XX000");
  }
}
