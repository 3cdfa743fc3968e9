package beamspread.node;

import beamspread.node.wire.Json;
import java.time.Instant;

/**
 * Writes log lines to standard error, with a limit per second so that a repeated failure stays
 * cheap. As JSON, lines have the fields of the agent's log: time, level, logger, message.
 */
final class Log {
  private static final int MAX_LINES_PER_SECOND = 10;

  private final String nodeName;
  private final boolean json;
  private long currentSecond;
  private int linesThisSecond;
  private boolean muted;

  /** Creates the log of the node of this name. */
  Log(String nodeName, boolean json) {
    this.nodeName = nodeName;
    this.json = json;
  }

  /** Drops all further lines: failures while a node closes are expected. */
  synchronized void mute() {
    muted = true;
  }

  /** Logs a line at level INFO. */
  void info(String message) {
    write("INFO", message);
  }

  /** Logs an unexpected failure at level ERROR, with its first stack frame. */
  void error(String context, Throwable cause) {
    StackTraceElement[] trace = cause.getStackTrace();
    write("ERROR", context + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
  }

  /**
   * Logs a warning of a library at level WARN.
   *
   * @param cause null for none
   */
  void warning(String message, Throwable cause) {
    write("WARN", cause == null ? message : message + ": " + cause);
  }

  private synchronized void write(String level, String message) {
    long second = System.nanoTime() / 1_000_000_000L;
    if (second != currentSecond) {
      currentSecond = second;
      linesThisSecond = 0;
    }
    if (!muted && linesThisSecond++ < MAX_LINES_PER_SECOND) {
      System.err.println(json ? formatJson(level, message) : message);
    }
  }

  private String formatJson(String level, String message) {
    return Json.object(
        out -> {
          out.writeStringField("time", Instant.now().toString());
          out.writeStringField("level", level);
          out.writeStringField("logger", "node");
          out.writeStringField("instance", nodeName);
          out.writeStringField("message", message);
        });
  }
}
