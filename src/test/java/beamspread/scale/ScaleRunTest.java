package beamspread.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A fleet of three, with all that a large one has: the processes, the calls, the figures. */
class ScaleRunTest {
  @TempDir Path folder;

  @Test
  void allFiguresAreTakenAndAHollowOneIsSentWhatARealOneIs() throws Exception {
    ScaleFile plan =
        new ScaleFile(
            List.of(3),
            3,
            5,
            1,
            2,
            1,
            1,
            1000,
            Map.of("node.rest_bytes_in_per_s", 1000.0, "node.heap_mb", 0.001));
    List<String> said = new ArrayList<>();
    ScaleRun run = new ScaleRun(plan, 1, folder, said::add);
    run.play();
    assertThat(run.rows()).hasSize(Figures.NAMES.size()).noneMatch(row -> row.contains("-"));
    assertThat(run.missed()).hasSize(1).allMatch(one -> one.startsWith("node.heap_mb at 3: "));
    assertThat(said).last().asString().startsWith("size 3: {node.");
  }
}
