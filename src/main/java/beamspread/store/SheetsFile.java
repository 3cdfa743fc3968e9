package beamspread.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import org.sqlite.SQLiteConfig;
import org.sqlite.SQLiteDataSource;

/** What operators do with a file of sheets, whether or not a store uses it. */
public final class SheetsFile {
  private static final int MOST_FAULTS = 20;

  private SheetsFile() {}

  private static Connection reader(Path file) throws SQLException, SheetsException {
    if (!Files.isRegularFile(file)) {
      throw new SheetsException(file + ": there is no such file", true, null);
    }
    SQLiteConfig config = new SQLiteConfig();
    config.setReadOnly(true);
    SQLiteDataSource source = new SQLiteDataSource(config);
    source.setUrl("jdbc:sqlite:" + file);
    return source.getConnection();
  }

  private static SheetsException unreadable(Path file, SQLException e) {
    return new SheetsException(file + " can't be read: " + e.getMessage(), true, e);
  }

  /** All that is damaged, page by page; empty if nothing is. */
  public static List<String> faults(Path file) throws SheetsException {
    try (Connection connection = reader(file)) {
      return faults(connection, "integrity_check", MOST_FAULTS);
    } catch (SQLException e) {
      throw unreadable(file, e);
    }
  }

  /** What one of SQLite's own checks says; empty if it finds nothing. */
  static List<String> faults(Connection connection, String check, int most) throws SQLException {
    try (Statement statement = connection.createStatement();
        ResultSet rows = statement.executeQuery("PRAGMA " + check + "(" + most + ")")) {
      List<String> faults = new ArrayList<>();
      while (rows.next()) {
        faults.add(rows.getString(1));
      }
      return faults.equals(List.of("ok")) ? List.of() : faults;
    }
  }

  /** What it has, in words. */
  public static String summary(Path file) throws SheetsException {
    try (Connection connection = reader(file);
        Statement statement = connection.createStatement();
        ResultSet row =
            statement.executeQuery(
                "SELECT (SELECT count(*) FROM sheet), (SELECT count(*) FROM done),"
                    + " (SELECT receipts FROM state)")) {
      row.next();
      return row.getLong(1)
          + " sheets, "
          + row.getLong(2)
          + " ids remembered, "
          + row.getLong(3)
          + " receipts given";
    } catch (SQLException e) {
      throw unreadable(file, e);
    }
  }

  /**
   * Copies the sheets as they are at one moment; the copy is there whole and checked, or not at
   * all.
   */
  public static void backup(Path file, Path copy) throws SheetsException {
    if (Files.exists(copy)) {
      throw new SheetsException(copy + " is there already: name a new file", true, null);
    }
    Path half = Path.of(copy + ".half");
    try (Connection connection = reader(file);
        PreparedStatement statement = connection.prepareStatement("VACUUM INTO ?")) {
      Files.deleteIfExists(half);
      statement.setString(1, half.toString());
      statement.execute();
    } catch (SQLException e) {
      throw new SheetsException(file + " can't be copied: " + e.getMessage(), true, e);
    } catch (IOException e) {
      throw new SheetsException(half + ": " + e.getMessage(), true, e);
    }
    List<String> faults = faults(half);
    if (!faults.isEmpty()) {
      throw new SheetsException(half + " is damaged: " + faults.get(0), true, null);
    }
    try {
      Files.move(half, copy, StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      throw new SheetsException(copy + ": " + e.getMessage(), true, e);
    }
  }
}
