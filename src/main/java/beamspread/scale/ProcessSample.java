package beamspread.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * What the system counts of a process (proc(5)): processor time, memory, what it has read and
 * written by calls of the kind that sockets of this program use, and descriptors.
 *
 * @param cpuMillis own and the system's for it, to 10 ms
 * @param residentKb memory that it holds
 * @param readBytes read so far
 * @param writtenBytes written so far
 * @param descriptors open now
 */
record ProcessSample(
    long cpuMillis, long residentKb, long readBytes, long writtenBytes, long descriptors) {
  /** Ticks of a second in /proc/PID/stat: 100 on all Linux of today. */
  private static final long TICK_MILLIS = 10;

  static ProcessSample of(long pid) throws IOException {
    Path process = Path.of("/proc/" + pid);
    try (var open = Files.list(process.resolve("fd"))) {
      return read(
          Files.readString(process.resolve("stat")),
          Files.readAllLines(process.resolve("status")),
          Files.readAllLines(process.resolve("io")),
          open.count());
    }
  }

  static ProcessSample read(String stat, List<String> status, List<String> io, long descriptors) {
    // The second field is the program's name in parentheses, and may hold anything.
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    long ticks = Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
    return new ProcessSample(
        ticks * TICK_MILLIS,
        field(status, "VmRSS:"),
        field(io, "rchar:"),
        field(io, "wchar:"),
        descriptors);
  }

  private static long field(List<String> lines, String name) {
    for (String line : lines) {
      if (line.startsWith(name)) {
        return Long.parseLong(line.replaceAll("\\D", ""));
      }
    }
    return 0;
  }
}
