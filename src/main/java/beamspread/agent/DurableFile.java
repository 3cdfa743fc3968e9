package beamspread.agent;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Files that are on the disk, whole, when a write returns; until then the old one stays. */
final class DurableFile {
  private DurableFile() {}

  /** Replaces a file's text. */
  static void write(Path file, String text) throws IOException {
    Path next = file.resolveSibling(file.getFileName() + ".new");
    ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    try (FileChannel channel =
        FileChannel.open(
            next,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      while (bytes.hasRemaining()) {
        channel.write(bytes);
      }
      channel.force(true);
    }
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent())) {
      // The new name, too, survives a loss of power.
      folder.force(true);
    }
  }
}
