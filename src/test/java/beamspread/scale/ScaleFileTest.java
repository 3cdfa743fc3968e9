package beamspread.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beamspread.fleet.config.TomlFaults;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ScaleFileTest {
  @TempDir Path folder;

  private Path file(String text) throws IOException {
    return Files.writeString(folder.resolve("scale.toml"), text);
  }

  @Test
  void theDeployedPlanIsRead() throws Exception {
    ScaleFile plan = ScaleFile.read(Path.of("deploy/scale.toml"));
    assertThat(plan.sizes()).containsExactly(60, 120, 245, 490, 980);
    assertThat(plan.design()).isEqualTo(490);
    assertThat(plan.aims()).containsEntry("node.change_last_s", 7.0);
  }

  @Test
  void everyFaultIsNamedWithItsLine() throws Exception {
    Path file =
        file(
            """
            sizes = [10, 5, 5000]
            design = 7
            seconds = 0
            colour = "red"
            [aims]
            "node.colour" = 1
            "node.heap_mb" = "much"
            """);
    assertThatThrownBy(() -> ScaleFile.read(file))
        .isInstanceOfSatisfying(
            TomlFaults.class,
            faults ->
                assertThat(faults.faults())
                    .containsExactlyInAnyOrder(
                        file + ":4: colour: unknown key",
                        file + ":1: sizes: must rise, 5 does not",
                        file + ":1: sizes: each must be 1 to 4096, one is 5000",
                        file + ":2: design: must be one of the sizes, is 7",
                        file + ":3: seconds: must be 1 to 600, is 0",
                        file + ":6: aims.node.colour: unknown key",
                        file + ":7: aims.node.heap_mb: a number is needed"));
  }

  @Test
  void whatDoesNotFitTheMachineIsRefusedInWords() throws Exception {
    ScaleFile plan = ScaleFile.read(file("sizes = [10, 500]\ndesign = 10\n"));
    ScaleRun.Needs needs = ScaleRun.needs(plan);
    assertThat(needs.lack(2 * needs.memoryMb(), needs.descriptors())).isNull();
    assertThat(needs.lack(2 * needs.memoryMb() - 2, needs.descriptors()))
        .contains("half of this machine's memory");
    assertThat(needs.lack(2 * needs.memoryMb(), needs.descriptors() - 1)).contains("ulimit -n");
  }

  @Test
  void aimsThatAreMissedAndFiguresThatWereNotTakenAreTold() {
    ScaleFile plan =
        new ScaleFile(
            List.of(2),
            2,
            1,
            1,
            1,
            1,
            0,
            1000,
            Map.of("node.heap_mb", 3.0, "node.descriptors", 5.0, "member.bytes_per_s", 1.0));
    Figures design = new Figures();
    design.put("node.heap_mb", 3.0);
    design.put("node.descriptors", 5.12345);
    assertThat(ScaleRun.missed(plan, design, Map.of()))
        .containsExactlyInAnyOrder(
            "node.descriptors at 2: 5.12, at most 5.0",
            "member.bytes_per_s at 2: NaN, at most 1.0");
    assertThat(
            ScaleRun.missed(
                new ScaleFile(List.of(2), 2, 1, 1, 1, 1, 0, 1000, Map.of()),
                design,
                Map.of("node", new double[] {100, 105}, "agent", new double[] {100, 94})))
        .containsExactly("a hollow agent: 94 bytes, a real one 100");
  }

  @Test
  void whatTheSystemSaysOfAProcessIsReadWhateverItsName() {
    ProcessSample sample =
        ProcessSample.read(
            "7 (a) b (c) S 1 7 7 0 -1 4194304 100 0 0 0 12 34 0 0 20 0 5 0 1 2 3",
            List.of("Name:\ta) b (c", "VmRSS:\t  1234 kB"),
            List.of("rchar: 11", "wchar: 22", "syscr: 33"),
            9);
    assertThat(sample).isEqualTo(new ProcessSample(460, 1234, 11, 22, 9));
  }
}
