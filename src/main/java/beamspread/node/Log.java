package beamspread.node;

import beamspread.node.wire.Json;
import java.time.Instant;

/**
 * Lines on standard error, at most so many a second: a failure that repeats must not cost more. As
 * JSON they have the fields that the operations' log has: time, level, logger, message.
 */
final class Log {
  private static final int LINES_A_SECOND = 10;

  private final String node;
  private final boolean json;
  private long second;
  private int lines;
  private boolean muted;

  /** A log of the node of this name. */
  Log(String node, boolean json) {
    this.node = node;
    this.json = json;
  }

  /** Writes no more: what happens while a node is closed is no news. */
  synchronized void mute() {
    muted = true;
  }

  /** Something worth knowing. */
  void line(String text) {
    write("INFO", text);
  }

  /** Something that should not be. */
  void failure(String where, Throwable cause) {
    StackTraceElement[] trace = cause.getStackTrace();
    write("ERROR", where + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
  }

  private synchronized void write(String level, String text) {
    long now = System.nanoTime() / 1_000_000_000L;
    if (now != second) {
      second = now;
      lines = 0;
    }
    if (!muted && lines++ < LINES_A_SECOND) {
      System.err.println(json ? object(level, text) : text);
    }
  }

  private String object(String level, String text) {
    return Json.object(
        out -> {
          out.writeStringField("time", Instant.now().toString());
          out.writeStringField("level", level);
          out.writeStringField("logger", "node");
          out.writeStringField("instance", node);
          out.writeStringField("message", text);
        });
  }
}
