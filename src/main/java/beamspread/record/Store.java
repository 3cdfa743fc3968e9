package beamspread.record;

import java.sql.Connection;
import java.sql.SQLException;

/** Where connections to the database come from. */
interface Store extends AutoCloseable {

  /** A connection, to be closed after use. */
  Connection connect() throws SQLException;

  /** The database's name, for messages. */
  String name();

  @Override
  void close();
}
