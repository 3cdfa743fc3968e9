package beamspread.standin.postgres;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.regex.Pattern;

/** A parsed statement: its words in SQLite's form, and the types of its parameters. */
record PgStatement(String sql, String sqlite, String verb, int[] types) {
  static final int BOOL = 16;
  static final int INT8 = 20;
  static final int INT2 = 21;
  static final int INT4 = 23;
  static final int TEXT = 25;

  /** The server's clock in milliseconds, in its own words and in SQLite's. */
  private static final String CLOCK =
      "CAST(extract(epoch FROM clock_timestamp()) * 1000 AS BIGINT)";

  private static final String SQLITE_CLOCK =
      "CAST((julianday('now') - 2440587.5) * 86400000 AS BIGINT)";

  private static final Pattern PARAMETER = Pattern.compile("\\$(\\d+)");

  static PgStatement of(String sql, int[] declared) {
    String trimmed = sql.strip().replace(CLOCK, SQLITE_CLOCK);
    int highest = 0;
    var matcher = PARAMETER.matcher(trimmed);
    while (matcher.find()) {
      highest = Math.max(highest, Integer.parseInt(matcher.group(1)));
    }
    int[] types = new int[highest];
    for (int i = 0; i < highest; i++) {
      types[i] = i < declared.length && declared[i] != 0 ? declared[i] : TEXT;
    }
    String verb = trimmed.split("[\\s;(]", 2)[0].toUpperCase(Locale.ROOT);
    return new PgStatement(sql, PARAMETER.matcher(trimmed).replaceAll("?$1"), verb, types);
  }

  /** A parameter as it came, in its text or binary form, as SQLite takes it. */
  Object value(int index, byte[] bytes, int format) throws PgError {
    int type = types[index];
    if (format == 0) {
      String text = new String(bytes, StandardCharsets.UTF_8);
      try {
        return switch (type) {
          case INT2, INT4, INT8 -> Long.parseLong(text);
          case BOOL -> text.startsWith("t") || text.equals("1") ? 1L : 0L;
          default -> text;
        };
      } catch (NumberFormatException e) {
        throw new PgError("22P02", "invalid input syntax for type integer: \"" + text + "\"");
      }
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    return switch (type) {
      case INT2 -> (long) buffer.getShort();
      case INT4 -> (long) buffer.getInt();
      case INT8 -> buffer.getLong();
      case BOOL -> (long) buffer.get();
      default -> new String(bytes, StandardCharsets.UTF_8);
    };
  }

  /** The type of a column, from the type that its table declares. */
  static int columnType(String declared) {
    return switch (declared == null ? "" : declared.toUpperCase(Locale.ROOT)) {
      case "BIGINT" -> INT8;
      default -> TEXT;
    };
  }

  /** A value of a row in the form that was asked for. */
  static byte[] encode(Object value, int type, int format) {
    if (format == 1 && type == INT8) {
      return ByteBuffer.allocate(8).putLong(((Number) value).longValue()).array();
    }
    return value.toString().getBytes(StandardCharsets.UTF_8);
  }
}
