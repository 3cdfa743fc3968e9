package beamspread.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.sqlite.SQLiteConfig;
import org.sqlite.SQLiteDataSource;
import org.sqlite.SQLiteErrorCode;

/**
 * Sheets in a file of SQLite: write-ahead log, {@code synchronous=FULL}, so that a commit is on the
 * disk before it is told. A write's id is stored in the transaction that stores its sheet; so a
 * process that is killed has stored both or neither. One connection writes, another reads; a read
 * sees whole transactions alone and waits for none.
 *
 * <p>Guards with a lock on a file of its own against a second store on the same file, whose time
 * and receipts would be others.
 */
public final class SqliteSheets implements Sheets {
  private static final int VERSION = 1;

  /** Ids forgotten with each write: more than one, so that none is left behind for long. */
  private static final int FORGOTTEN_EACH = 4;

  private final Path file;
  private final IdWindow window;
  private final LongSupplier machineMillis;
  private final FileChannel lockFile;
  private final FileLock lock;
  private Connection writes;
  private final Connection reads;

  /**
   * Opens a file, or makes it; looks it over first, and refuses a damaged one.
   *
   * @param machineMillis the machine's clock
   */
  public SqliteSheets(Path file, IdWindow window, LongSupplier machineMillis)
      throws SheetsException {
    this.file = file;
    this.window = window;
    this.machineMillis = machineMillis;
    Path folder = file.toAbsolutePath().getParent();
    if (!Files.isDirectory(folder)) {
      throw new SheetsException(file + ": there is no folder " + folder, true, null);
    }
    List<AutoCloseable> opened = new ArrayList<>();
    boolean whole = false;
    try {
      lockFile =
          FileChannel.open(
              Path.of(file + ".lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      opened.add(lockFile);
      lock = tryLock(lockFile);
      if (lock == null) {
        throw new SheetsException(
            file + " is in use by another store: end that one, or name another file", true, null);
      }
      writes = connect(false);
      opened.add(writes);
      prepare();
      reads = connect(true);
      opened.add(reads);
      whole = true;
    } catch (SQLException | IOException e) {
      throw new SheetsException(file + " can't be opened: " + e.getMessage(), true, e);
    } finally {
      if (!whole) {
        closeAll(opened);
      }
    }
  }

  private static FileLock tryLock(FileChannel channel) throws IOException {
    try {
      return channel.tryLock();
    } catch (OverlappingFileLockException e) {
      return null;
    }
  }

  private Connection connect(boolean reader) throws SQLException {
    SQLiteConfig config = new SQLiteConfig();
    config.setJournalMode(SQLiteConfig.JournalMode.WAL);
    config.setSynchronous(SQLiteConfig.SynchronousMode.FULL);
    config.setTransactionMode(SQLiteConfig.TransactionMode.IMMEDIATE);
    config.setReadOnly(reader);
    SQLiteDataSource source = new SQLiteDataSource(config);
    source.setUrl("jdbc:sqlite:" + file);
    return source.getConnection();
  }

  private void prepare() throws SQLException, SheetsException {
    List<String> faults = SheetsFile.faults(writes, "quick_check", 3);
    if (!faults.isEmpty()) {
      throw new SheetsException(
          file + " is damaged: " + String.join("; ", faults) + ". Restore a backup of it",
          true,
          null);
    }
    try (Statement statement = writes.createStatement()) {
      int version;
      try (ResultSet row = statement.executeQuery("PRAGMA user_version")) {
        row.next();
        version = row.getInt(1);
      }
      if (version > VERSION) {
        throw new SheetsException(
            file
                + " has schema version "
                + version
                + ", this program knows up to "
                + VERSION
                + ": run a newer program",
            true,
            null);
      }
      if (version == 0) {
        writes.setAutoCommit(false);
        statement.execute(
            "CREATE TABLE sheet (key TEXT PRIMARY KEY, value BLOB NOT NULL,"
                + " version INTEGER NOT NULL) WITHOUT ROWID");
        statement.execute(
            "CREATE TABLE done (id TEXT PRIMARY KEY, receipt INTEGER NOT NULL,"
                + " stored_ms INTEGER NOT NULL) WITHOUT ROWID");
        statement.execute("CREATE INDEX done_by_time ON done (stored_ms)");
        statement.execute(
            "CREATE TABLE state (receipts INTEGER NOT NULL, clock_ms INTEGER NOT NULL,"
                + " forgotten_ms INTEGER NOT NULL)");
        statement.execute("INSERT INTO state VALUES (0, 0, 0)");
        statement.execute("PRAGMA user_version = " + VERSION);
        writes.commit();
      }
      writes.setAutoCommit(false);
    }
  }

  /** Sets a pragma of the writing connection, for tests. */
  void pragma(String text) throws SQLException {
    try (Statement statement = writes.createStatement()) {
      statement.execute("PRAGMA " + text);
      writes.commit();
    }
  }

  /** What the store remembers of itself, within a transaction. */
  private static final class State {
    long receipts;
    long clock;
    long forgotten;
  }

  @Override
  public List<Write.Answer> commit(List<Write> batch) throws SheetsException {
    boolean committing = false;
    try {
      State state = state();
      state.clock = IdWindow.clock(state.clock, machineMillis.getAsLong());
      List<Write.Answer> answers = new ArrayList<>();
      Map<String, Write.Answer> here = new HashMap<>();
      for (Write write : batch) {
        Write.Answer before = here.get(write.id());
        Write.Answer answer = before != null ? before : carryOut(write, state);
        here.put(write.id(), answer);
        answers.add(answer);
      }
      forget(state, batch.size());
      update(
          "UPDATE state SET receipts = ?, clock_ms = ?, forgotten_ms = ?",
          state.receipts,
          state.clock,
          state.forgotten);
      committing = true;
      writes.commit();
      return answers;
    } catch (SQLException e) {
      throw undone(e, committing);
    }
  }

  /**
   * What a failure means. Before the commit all is rolled back and has not happened. A commit that
   * fails for want of room has not happened either; after any other, as a disk that could not be
   * written to the end, only the file could tell, once it is opened anew.
   */
  private SheetsException undone(SQLException e, boolean committing) {
    boolean room = (e.getErrorCode() & 0xff) == SQLiteErrorCode.SQLITE_FULL.code;
    boolean back = rollBack();
    boolean harmless = back && (!committing || room);
    return new SheetsException(
        room ? "no room left for " + file : file + ": " + e.getMessage(), harmless, e);
  }

  /** Whether nothing of a transaction is left that could still be carried out. */
  private boolean rollBack() {
    try {
      writes.rollback();
      return true;
    } catch (SQLException e) {
      // SQLite ends some transactions of itself, as on a full disk; the driver then no longer knows
      // where it stands. A new connection sees what there is.
      return openAnew();
    }
  }

  private boolean openAnew() {
    try {
      writes.close();
      writes = connect(false);
      writes.setAutoCommit(false);
      return true;
    } catch (SQLException e) {
      return false;
    }
  }

  private State state() throws SQLException {
    try (Statement statement = writes.createStatement();
        ResultSet row = statement.executeQuery("SELECT * FROM state")) {
      row.next();
      State state = new State();
      state.receipts = row.getLong("receipts");
      state.clock = row.getLong("clock_ms");
      state.forgotten = row.getLong("forgotten_ms");
      return state;
    }
  }

  private Write.Answer carryOut(Write write, State state) throws SQLException {
    try (PreparedStatement find =
        writes.prepareStatement("SELECT receipt FROM done WHERE id = ?")) {
      find.setString(1, write.id());
      try (ResultSet row = find.executeQuery()) {
        if (row.next()) {
          return Write.Answer.stored(row.getLong(1));
        }
      }
    }
    if (!window.mayBeNew(write, state.clock, state.forgotten)) {
      return Write.Answer.tooOld("its id is older than what is remembered");
    }
    state.receipts++;
    update(
        "INSERT INTO sheet VALUES (?, ?, 1) ON CONFLICT (key) DO UPDATE"
            + " SET value = excluded.value, version = version + 1",
        write.key(),
        write.value());
    update("INSERT INTO done VALUES (?, ?, ?)", write.id(), state.receipts, state.clock);
    return Write.Answer.stored(state.receipts);
  }

  /** Forgets some ids that are older than the window, the oldest first. */
  private void forget(State state, int batch) throws SQLException {
    long upTo = window.forgetUpTo(state.clock);
    long last = -1;
    try (PreparedStatement old =
        writes.prepareStatement(
            "SELECT max(stored_ms) FROM (SELECT stored_ms FROM done WHERE stored_ms <= ?"
                + " ORDER BY stored_ms LIMIT ?)")) {
      old.setLong(1, upTo);
      old.setInt(2, batch * FORGOTTEN_EACH);
      try (ResultSet row = old.executeQuery()) {
        last = row.next() && row.getObject(1) != null ? row.getLong(1) : -1;
      }
    }
    if (last >= 0) {
      update("DELETE FROM done WHERE stored_ms <= ?", last);
      state.forgotten = Math.max(state.forgotten, last);
    }
  }

  private void update(String sql, Object... values) throws SQLException {
    try (PreparedStatement statement = writes.prepareStatement(sql)) {
      for (int i = 0; i < values.length; i++) {
        statement.setObject(i + 1, values[i]);
      }
      statement.executeUpdate();
    }
  }

  @Override
  public synchronized Optional<Sheet> read(String key) throws SheetsException {
    try (PreparedStatement find =
        reads.prepareStatement("SELECT value, version FROM sheet WHERE key = ?")) {
      find.setString(1, key);
      try (ResultSet row = find.executeQuery()) {
        return row.next()
            ? Optional.of(new Sheet(row.getBytes(1), row.getLong(2)))
            : Optional.empty();
      }
    } catch (SQLException e) {
      throw new SheetsException(file + ": " + e.getMessage(), true, e);
    }
  }

  @Override
  public void close() {
    closeAll(List.of(reads, writes, lockFile));
  }

  private static void closeAll(List<AutoCloseable> opened) {
    for (AutoCloseable one : opened) {
      try {
        one.close();
      } catch (Exception e) {
        // Nothing more can be done for it: what was confirmed is on the disk.
      }
    }
  }
}
