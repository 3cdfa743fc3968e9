package beamspread.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;

/**
 * Sees that the configuration file has changed, where SIGHUP can't tell: a process inherits that
 * the signal is ignored, from nohup for one, and the virtual machine then leaves it so. A change
 * counts once a second look finds the file as the first one left it, so that a file which is being
 * written is not read half way.
 */
final class ConfigWatch {
  /** Between two looks. */
  static final long LOOK_MILLIS = 250;

  private final Path file;
  private final Runnable changed;
  private State taken;
  private State seen;

  /** What tells one content of a file from another without reading it. */
  private record State(FileTime modified, long size, Object key) {}

  /** Watches a file; what it holds now is known. */
  ConfigWatch(Path file, Runnable changed) {
    this.file = file;
    this.changed = changed;
    taken = state();
    seen = taken;
  }

  /** Looks at the file; tells of a change once it has settled. */
  void look() {
    State now = state();
    boolean settled = now != null && now.equals(seen);
    seen = now;
    if (settled && !now.equals(taken)) {
      taken = now;
      changed.run();
    }
  }

  /** Null while there is no such file. */
  private State state() {
    try {
      BasicFileAttributes read = Files.readAttributes(file, BasicFileAttributes.class);
      return new State(read.lastModifiedTime(), read.size(), read.fileKey());
    } catch (IOException e) {
      return null;
    }
  }
}
