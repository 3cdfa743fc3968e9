package beamspread.agent;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The output of an instance, in a file that it appends to by itself. What the file holds is
 * bounded: once it is too long its end is kept aside and it begins anew.
 */
final class InstanceLog {
  private static final long LONGEST = 1 << 20;
  private static final int KEPT = 256 << 10;
  private static final int LONGEST_LINE = 2000;

  private final Path file;
  private final Path older;

  InstanceLog(Path file) {
    this.file = file;
    this.older = file.resolveSibling(file.getFileName() + ".1");
  }

  Path file() {
    return file;
  }

  /** Cuts the file if it has become too long; what is written meanwhile may be lost. */
  void trim() {
    try {
      if (Files.exists(file) && Files.size(file) > LONGEST) {
        Files.write(older, end(KEPT));
        try (RandomAccessFile open = new RandomAccessFile(file.toFile(), "rw")) {
          open.setLength(0);
        }
      }
    } catch (IOException e) {
      // A full disk: the next look tries again.
    }
  }

  private byte[] end(int most) throws IOException {
    try (RandomAccessFile open = new RandomAccessFile(file.toFile(), "r")) {
      long from = Math.max(0, open.length() - most);
      byte[] bytes = new byte[(int) (open.length() - from)];
      open.seek(from);
      open.readFully(bytes);
      return bytes;
    }
  }

  /** The last lines. */
  List<String> tail(int most) {
    try {
      List<String> lines =
          new String(end(KEPT), StandardCharsets.UTF_8)
              .lines()
              .map(line -> line.length() > LONGEST_LINE ? line.substring(0, LONGEST_LINE) : line)
              .toList();
      return lines.subList(Math.max(0, lines.size() - most), lines.size());
    } catch (IOException e) {
      return List.of();
    }
  }
}
