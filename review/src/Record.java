import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what happened to a file, each line with the milliseconds since the start. */
final class Record {
  private final PrintWriter out;
  private final long start = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the milliseconds since the start. */
  double millis(long nanos) {
    return (nanos - start) / 1e6;
  }

  synchronized void line(String text) {
    out.printf("%10.1f %s%n", millis(System.nanoTime()), text);
  }

  /** Writes a line to the file and to standard output. */
  synchronized void say(String text) {
    System.out.println(text);
    line(text);
    out.flush();
  }

  synchronized void close() {
    out.close();
  }
}
