package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigWatchTest {
  @TempDir Path folder;

  @Test
  void reportsChangeOnceAfterFileHasSettled() throws Exception {
    Path file = folder.resolve("node.json");
    AtomicInteger changes = new AtomicInteger();
    Files.writeString(file, "first");
    ConfigWatch watch = new ConfigWatch(file, changes::incrementAndGet);
    watch.poll();
    watch.poll();
    assertThat(changes).hasValue(0);
    Files.writeString(file, "half");
    watch.poll();
    Files.writeString(file, " and half", StandardOpenOption.APPEND);
    watch.poll();
    assertThat(changes).hasValue(0);
    watch.poll();
    watch.poll();
    assertThat(changes).hasValue(1);
    Files.delete(file);
    watch.poll();
    watch.poll();
    assertThat(changes).hasValue(1);
    Files.writeString(folder.resolve("next"), "half and half");
    Files.move(folder.resolve("next"), file);
    watch.poll();
    watch.poll();
    assertThat(changes).hasValue(2);
  }
}
