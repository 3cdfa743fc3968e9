package beamspread.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;

/**
 * Detects changes of the configuration file by polling, for processes that can't receive SIGHUP: a
 * process that was started with the signal ignored, for example by nohup, ignores it, because the
 * JVM does not change that. A change is reported once two consecutive polls find the file in the
 * same state, so that a file that is still being written is not read.
 */
final class ConfigWatch {
  /** Interval between two polls. */
  static final long POLL_INTERVAL_MILLIS = 250;

  private final Path file;
  private final Runnable onChange;
  private FileState reportedState;
  private FileState lastState;

  /** File attributes that identify a version of the file without reading it. */
  private record FileState(FileTime modified, long size, Object fileKey) {}

  /** Watches a file for changes from its present state. */
  ConfigWatch(Path file, Runnable onChange) {
    this.file = file;
    this.onChange = onChange;
    reportedState = readState();
    lastState = reportedState;
  }

  /** Polls the file, and reports a change once it has settled. */
  void poll() {
    FileState current = readState();
    boolean settled = current != null && current.equals(lastState);
    lastState = current;
    if (settled && !current.equals(reportedState)) {
      reportedState = current;
      onChange.run();
    }
  }

  /** Returns the state of the file; null if it can't be read. */
  private FileState readState() {
    try {
      BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
      return new FileState(attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
    } catch (IOException e) {
      return null;
    }
  }
}
