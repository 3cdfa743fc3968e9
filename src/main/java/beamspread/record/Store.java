package beamspread.record;

import java.sql.Connection;
import java.sql.SQLException;

/** Where connections to the database come from. */
interface Store extends AutoCloseable {

  /** A connection, to be closed after use. */
  Connection connect() throws SQLException;

  /** An expression of the database's own clock, in whole Unix milliseconds. */
  String clock();

  /** The database's name, for messages. */
  String name();

  @Override
  void close();
}
