package beamspread.standin.postgres;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.BufferUnderflowException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.ResultSetMetaData;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One connection: start-up, then messages in order until it ends. */
final class PgSession {
  private static final int PROTOCOL = 196608;
  private static final int CANCEL = 80877102;
  private static final int SSL = 80877103;
  private static final int GSS = 80877104;
  private static final int MOST_STATEMENTS = 1000;
  private static final SecureRandom RANDOM = new SecureRandom();

  /** A column as a row description tells it. */
  private record Column(String name, int type) {}

  /** What an Execute runs. */
  private static final class Portal {
    final PgStatement statement;
    final Object[] values;
    final int[] formats;
    List<Object[]> rows;
    List<Column> columns;
    int told;
    String tag;

    Portal(PgStatement statement, Object[] values, int[] formats) {
      this.statement = statement;
      this.values = values;
      this.formats = formats;
    }
  }

  /** The connection is to end here and now. */
  private static final class CutException extends IOException {
    private static final long serialVersionUID = 1L;
  }

  final int secret = RANDOM.nextInt();
  private final PgServer server;
  private final Socket socket;
  private final int id;
  private final Map<String, PgStatement> statements = new HashMap<>();
  private final Map<String, Portal> portals = new HashMap<>();
  private PgWire wire;
  private boolean inTransaction;
  private boolean failed;
  private volatile boolean cancelled;
  private volatile boolean gone;

  PgSession(PgServer server, Socket socket, int id) {
    this.server = server;
    this.socket = socket;
    this.id = id;
  }

  void cancel() {
    cancelled = true;
  }

  void breakOff() {
    gone = true;
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It has ended of itself.
    }
  }

  void run() {
    try (socket) {
      socket.setTcpNoDelay(true);
      wire =
          new PgWire(
              new DataInputStream(new BufferedInputStream(socket.getInputStream())),
              socket.getOutputStream());
      if (startUp()) {
        ready();
        boolean skipping = false;
        for (int type = wire.type(); type > 0 && type != 'X'; type = wire.type()) {
          PgWire.Body body = wire.body();
          if (type == 'S') {
            skipping = false;
            ready();
          } else if (!skipping) {
            skipping = !handle((char) type, body);
          }
        }
      }
    } catch (CutException e) {
      breakOff();
    } catch (IOException | BufferUnderflowException | GeneralSecurityException e) {
      // The client has gone or sends what is no message: its connection ends.
    } finally {
      gone = true;
      endTransaction(false);
    }
  }

  private boolean startUp() throws IOException, GeneralSecurityException {
    while (true) {
      int length = wire.int32();
      int code = wire.int32();
      if (code == SSL || code == GSS) {
        wire.sendByte('N');
      } else if (code == CANCEL) {
        server.cancel(wire.int32(), wire.int32());
        return false;
      } else if (code == PROTOCOL && length < 10_000) {
        Map<String, String> parameters = new HashMap<>();
        PgWire.Body body = rest(length - 8);
        for (String name = body.text(); !name.isEmpty(); name = body.text()) {
          parameters.put(name, body.text());
        }
        return authenticate(parameters.getOrDefault("user", ""));
      } else {
        error(new PgError("0A000", "unsupported frontend protocol"));
        wire.flush();
        return false;
      }
    }
  }

  private PgWire.Body rest(int length) throws IOException {
    byte[] bytes = new byte[length];
    for (int i = 0; i < length; i++) {
      bytes[i] = (byte) wire.type();
    }
    return new PgWire.Body(bytes);
  }

  private boolean authenticate(String user) throws IOException, GeneralSecurityException {
    wire.send('R', new PgWire.Out().int32(10).text("SCRAM-SHA-256").int8(0));
    wire.flush();
    byte[] nonce = new byte[18];
    RANDOM.nextBytes(nonce);
    ScramServer scram = new ScramServer(server.password, Base64.getEncoder().encodeToString(nonce));
    if (wire.type() != 'p') {
      return false;
    }
    PgWire.Body initial = wire.body();
    if (!initial.text().equals("SCRAM-SHA-256")) {
      return refuse(user);
    }
    String first = new String(initial.bytes(initial.int32()), StandardCharsets.UTF_8);
    wire.send('R', new PgWire.Out().int32(11).raw(bytes(scram.first(first))));
    wire.flush();
    if (wire.type() != 'p') {
      return false;
    }
    String end = scram.last(new String(wire.body().rest(), StandardCharsets.UTF_8));
    if (end == null || !user.equals(server.user)) {
      return refuse(user);
    }
    wire.send('R', new PgWire.Out().int32(12).raw(bytes(end)));
    wire.send('R', new PgWire.Out().int32(0));
    Map.of(
            "server_version", "15.0",
            "server_encoding", "UTF8",
            "client_encoding", "UTF8",
            "DateStyle", "ISO, MDY",
            "integer_datetimes", "on",
            "standard_conforming_strings", "on",
            "TimeZone", "UTC")
        .forEach((name, value) -> wire.send('S', new PgWire.Out().text(name).text(value)));
    wire.send('K', new PgWire.Out().int32(id).int32(secret));
    return true;
  }

  private boolean refuse(String user) throws IOException {
    error(new PgError("28P01", "password authentication failed for user \"" + user + "\""));
    wire.flush();
    return false;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private void ready() throws IOException {
    wire.send('Z', new PgWire.Out().int8(failed ? 'E' : inTransaction ? 'T' : 'I'));
    wire.flush();
  }

  private void error(PgError error) {
    wire.send(
        'E',
        new PgWire.Out()
            .int8('S')
            .text("ERROR")
            .int8('V')
            .text("ERROR")
            .int8('C')
            .text(error.sqlState)
            .int8('M')
            .text(String.valueOf(error.getMessage()))
            .int8(0));
  }

  /** Handles a message; false after an error, when all up to the next Sync is skipped. */
  private boolean handle(char type, PgWire.Body body) throws IOException {
    try {
      switch (type) {
        case 'Q' -> {
          simple(body.text());
          ready();
        }
        case 'P' -> parse(body);
        case 'B' -> bind(body);
        case 'D' -> describe(body);
        case 'E' -> execute(body);
        case 'C' -> close(body);
        case 'H' -> wire.flush();
        default -> throw new PgError("08P01", "unexpected message '" + type + "'");
      }
      return true;
    } catch (PgError e) {
      failed |= inTransaction;
      error(e);
      if (type == 'Q') {
        ready();
        return true;
      }
      return false;
    }
  }

  private void simple(String text) throws IOException, PgError {
    for (String sql : text.split(";")) {
      if (!sql.isBlank()) {
        Portal portal = new Portal(PgStatement.of(sql, new int[0]), new Object[0], new int[0]);
        run(portal);
        if (portal.rows != null) {
          wire.send('T', description(portal.columns, new int[0]));
        }
        tell(portal, 0);
      }
    }
    if (text.isBlank()) {
      wire.send('I', new PgWire.Out());
    }
  }

  private void parse(PgWire.Body body) throws PgError {
    String name = body.text();
    String sql = body.text();
    int[] types = new int[body.int16()];
    for (int i = 0; i < types.length; i++) {
      types[i] = body.int32();
    }
    if (statements.size() >= MOST_STATEMENTS) {
      throw new PgError("53000", "too many prepared statements");
    }
    statements.put(name, PgStatement.of(sql, types));
    wire.send('1', new PgWire.Out());
  }

  private PgStatement statement(String name) throws PgError {
    PgStatement statement = statements.get(name);
    if (statement == null) {
      throw new PgError("26000", "prepared statement \"" + name + "\" does not exist");
    }
    return statement;
  }

  private Portal portal(String name) throws PgError {
    Portal portal = portals.get(name);
    if (portal == null) {
      throw new PgError("34000", "portal \"" + name + "\" does not exist");
    }
    return portal;
  }

  private void bind(PgWire.Body body) throws PgError {
    String portal = body.text();
    PgStatement statement = statement(body.text());
    int[] formats = formats(body);
    Object[] values = new Object[body.int16()];
    if (values.length != statement.types().length) {
      throw new PgError("08P01", "bind message supplies " + values.length + " parameters");
    }
    for (int i = 0; i < values.length; i++) {
      int length = body.int32();
      values[i] = length < 0 ? null : statement.value(i, body.bytes(length), format(formats, i));
    }
    portals.put(portal, new Portal(statement, values, formats(body)));
    wire.send('2', new PgWire.Out());
  }

  private static int[] formats(PgWire.Body body) {
    int[] formats = new int[body.int16()];
    for (int i = 0; i < formats.length; i++) {
      formats[i] = body.int16();
    }
    return formats;
  }

  private static int format(int[] formats, int index) {
    return formats.length == 0 ? 0 : formats[formats.length == 1 ? 0 : index];
  }

  private void describe(PgWire.Body body) throws PgError, IOException {
    boolean ofStatement = body.character() == 'S';
    String name = body.text();
    PgStatement statement = ofStatement ? statement(name) : portal(name).statement;
    if (ofStatement) {
      PgWire.Out types = new PgWire.Out().int16(statement.types().length);
      for (int type : statement.types()) {
        types.int32(type);
      }
      wire.send('t', types);
    }
    List<Column> columns = columns(statement);
    if (columns.isEmpty()) {
      wire.send('n', new PgWire.Out());
    } else {
      wire.send('T', description(columns, ofStatement ? new int[0] : portal(name).formats));
    }
  }

  private static PgWire.Out description(List<Column> columns, int[] formats) {
    PgWire.Out out = new PgWire.Out().int16(columns.size());
    for (int i = 0; i < columns.size(); i++) {
      Column column = columns.get(i);
      int size = column.type == PgStatement.INT8 ? 8 : -1;
      out.text(column.name).int32(0).int16(0).int32(column.type);
      out.int16(size).int32(-1).int16(format(formats, i));
    }
    return out;
  }

  private void close(PgWire.Body body) {
    if (body.character() == 'S') {
      statements.remove(body.text());
    } else {
      portals.remove(body.text());
    }
    wire.send('3', new PgWire.Out());
  }

  private void execute(PgWire.Body body) throws IOException, PgError {
    Portal portal = portal(body.text());
    int most = body.int32();
    if (portal.tag == null) {
      run(portal);
    }
    tell(portal, most);
  }

  /** Sends a portal's rows, at most so many unless 0. */
  private void tell(Portal portal, int most) {
    if (portal.rows != null) {
      int sent = 0;
      while (portal.told < portal.rows.size() && (most == 0 || sent < most)) {
        Object[] row = portal.rows.get(portal.told++);
        sent++;
        PgWire.Out out = new PgWire.Out().int16(row.length);
        for (int i = 0; i < row.length; i++) {
          if (row[i] == null) {
            out.int32(-1);
          } else {
            byte[] value =
                PgStatement.encode(row[i], portal.columns.get(i).type, format(portal.formats, i));
            out.int32(value.length).raw(value);
          }
        }
        wire.send('D', out);
      }
      if (portal.told < portal.rows.size()) {
        wire.send('s', new PgWire.Out());
        return;
      }
    }
    wire.send('C', new PgWire.Out().text(portal.tag));
  }

  /** Runs a statement, with the fault that befalls it. */
  private void run(Portal portal) throws IOException, PgError {
    PgStatement statement = portal.statement;
    cancelled = false;
    PgFault fault = server.fault(statement.sql());
    if (fault != null) {
      switch (fault.kind()) {
        case CUT_BEFORE -> throw new CutException();
        case ERROR_BEFORE -> throw new PgError(fault.sqlState(), "injected: not run");
        case STALL -> stall();
        default -> {
          // Befalls it afterwards.
        }
      }
    }
    runWell(portal);
    if (fault != null && fault.kind() == PgFault.Kind.CUT_AFTER) {
      throw new CutException();
    }
    if (fault != null && fault.kind() == PgFault.Kind.ERROR_AFTER) {
      throw new PgError(fault.sqlState(), "injected: run all the same");
    }
  }

  private void stall() throws PgError, CutException {
    while (server.stalling()) {
      pause();
    }
  }

  private void pause() throws PgError, CutException {
    if (cancelled) {
      throw new PgError("57014", "canceling statement due to user request");
    }
    if (gone) {
      throw new CutException();
    }
    try {
      TimeUnit.MILLISECONDS.sleep(2);
    } catch (InterruptedException e) {
      throw new CutException();
    }
  }

  private void runWell(Portal portal) throws PgError, IOException {
    String verb = portal.statement.verb();
    switch (verb) {
      case "BEGIN", "START" -> {
        if (!inTransaction) {
          begin();
        }
        portal.tag = "BEGIN";
      }
      case "COMMIT", "END" -> {
        portal.tag = failed ? "ROLLBACK" : "COMMIT";
        endTransaction(!failed);
      }
      case "ROLLBACK", "ABORT" -> {
        portal.tag = "ROLLBACK";
        endTransaction(false);
      }
      case "SET" -> portal.tag = "SET";
      case "SHOW" -> {
        portal.columns = columns(portal.statement);
        portal.rows = new ArrayList<>();
        portal.rows.add(new Object[] {setting(portal.statement.sql())});
        portal.tag = "SHOW";
      }
      default -> {
        if (failed) {
          throw new PgError(
              "25P02",
              "current transaction is aborted, commands ignored until end of transaction block");
        }
        boolean alone = !inTransaction;
        if (alone) {
          lock();
        }
        try {
          query(portal);
        } catch (SQLException e) {
          throw PgError.of(e);
        } finally {
          if (alone) {
            server.transaction.unlock();
          }
        }
      }
    }
  }

  private static String setting(String sql) throws PgError {
    if (sql.toUpperCase(Locale.ROOT).contains("TRANSACTION ISOLATION LEVEL")) {
      return "read committed";
    }
    throw new PgError("42704", "unrecognized configuration parameter in \"" + sql + "\"");
  }

  private void lock() throws PgError, CutException {
    while (!server.transaction.tryLock()) {
      pause();
    }
  }

  private void begin() throws PgError, IOException {
    lock();
    try {
      server.database.setAutoCommit(false);
      inTransaction = true;
    } catch (SQLException e) {
      server.transaction.unlock();
      throw PgError.of(e);
    }
  }

  private void endTransaction(boolean commit) {
    if (!inTransaction) {
      return;
    }
    try {
      if (commit) {
        server.database.commit();
      } else {
        server.database.rollback();
      }
      server.database.setAutoCommit(true);
    } catch (SQLException e) {
      // Closed: the whole server ends.
    } finally {
      inTransaction = false;
      failed = false;
      server.transaction.unlock();
    }
  }

  private List<Column> columns(PgStatement statement) throws PgError, IOException {
    if (statement.verb().equals("SHOW")) {
      return List.of(new Column("setting", PgStatement.TEXT));
    }
    if (!statement.verb().equals("SELECT")) {
      return List.of();
    }
    boolean alone = !inTransaction;
    if (alone) {
      lock();
    }
    try (PreparedStatement prepared = server.database.prepareStatement(statement.sqlite())) {
      return columns(prepared.getMetaData());
    } catch (SQLException e) {
      throw PgError.of(e);
    } finally {
      if (alone) {
        server.transaction.unlock();
      }
    }
  }

  private static List<Column> columns(ResultSetMetaData meta) throws SQLException {
    List<Column> columns = new ArrayList<>();
    for (int i = 1; i <= meta.getColumnCount(); i++) {
      columns.add(
          new Column(meta.getColumnLabel(i), PgStatement.columnType(meta.getColumnTypeName(i))));
    }
    return columns;
  }

  private void query(Portal portal) throws SQLException {
    String verb = portal.statement.verb();
    try (PreparedStatement prepared = server.database.prepareStatement(portal.statement.sqlite())) {
      for (int i = 0; i < portal.values.length; i++) {
        prepared.setObject(i + 1, portal.values[i]);
      }
      if (verb.equals("SELECT")) {
        portal.columns = columns(prepared.getMetaData());
        portal.rows = new ArrayList<>();
        try (ResultSet rows = prepared.executeQuery()) {
          while (rows.next()) {
            Object[] row = new Object[portal.columns.size()];
            for (int i = 0; i < row.length; i++) {
              row[i] = rows.getObject(i + 1);
            }
            portal.rows.add(row);
          }
        }
        portal.tag = "SELECT " + portal.rows.size();
      } else {
        int count = prepared.executeUpdate();
        portal.tag =
            switch (verb) {
              case "INSERT" -> "INSERT 0 " + count;
              case "UPDATE", "DELETE" -> verb + " " + count;
              default -> verb + " TABLE";
            };
      }
    }
  }
}
