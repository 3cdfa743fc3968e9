package beamspread.node;

/** Lines on standard error, at most so many a second: a failure that repeats must not cost more. */
final class Log {
  private static final int LINES_A_SECOND = 10;

  private long second;
  private int lines;
  private boolean muted;

  /** Writes no more: what happens while a node is closed is no news. */
  synchronized void mute() {
    muted = true;
  }

  synchronized void line(String text) {
    long now = System.nanoTime() / 1_000_000_000L;
    if (now != second) {
      second = now;
      lines = 0;
    }
    if (!muted && lines++ < LINES_A_SECOND) {
      System.err.println(text);
    }
  }

  void failure(String where, Throwable cause) {
    StackTraceElement[] trace = cause.getStackTrace();
    line(where + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
  }
}
