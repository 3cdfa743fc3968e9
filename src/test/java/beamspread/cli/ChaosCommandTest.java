package beamspread.cli;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.chaos.Program;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command line of the rig. */
class ChaosCommandTest {
  @TempDir private Path folder;

  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  private int chaos(String command, String toml, String... options) throws Exception {
    Path file = Files.writeString(folder.resolve("run.toml"), toml);
    List<String> words = new ArrayList<>(List.of("chaos", command, file.toString()));
    words.addAll(List.of(options));
    return Main.line()
        .setOut(new PrintWriter(out, true))
        .setErr(new PrintWriter(err, true))
        .execute(words.toArray(String[]::new));
  }

  @Test
  void aCheckSaysWhatASeedPlays() throws Exception {
    String toml = Files.readString(Path.of("deploy/chaos-tier.toml"));
    assertThat(chaos("check", toml)).isZero();
    assertThat(out.toString())
        .contains("good; scene nodes, seed 1, 6 faults in 40.0 s")
        .contains("2.000 s  one-way n0 > n1 for 12.00 s")
        .contains("8.000 s  kill n5,n6 for 8.00 s");
  }

  @Test
  void aWrongFileOrOptionIsCodeTwoAndPlaysNothing() throws Exception {
    assertThat(chaos("run", "scene = \"store\"\nseconds = 0\n")).isEqualTo(2);
    assertThat(err.toString()).contains("run.toml:2: seconds: must be 1.0 to 600.0, is 0.0");
    assertThat(chaos("run", "scene = \"storm\"\n")).isEqualTo(2);
    assertThat(err.toString())
        .contains("run.toml:1: scene: store, rollout, nodes or variants is needed");
    assertThat(chaos("run", "scene = \"store\"\n", "--runs", "0")).isEqualTo(2);
    assertThat(err.toString()).contains("--runs must be 1 to 1000");
  }

  @Test
  void aRunThatIsToldToEndLeavesNoProcessBehind() throws Exception {
    Path file =
        Files.writeString(
            folder.resolve("run.toml"),
            """
            scene = "rollout"
            seconds = 300
            [rollout]
            agents = 1
            instances = 2
            callers = 1
            """);
    List<String> words = Program.operations(64, "chaos", "run", file.toString());
    words.add(1, "-Djava.io.tmpdir=" + folder);
    Process run =
        new ProcessBuilder(words)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("out").toFile())
            .start();
    List<ProcessHandle> started = List.of();
    try {
      // The agent, its instances, and an operator's command.
      long until = System.nanoTime() + 60_000_000_000L;
      while (started.size() < 4 && System.nanoTime() < until) {
        started = run.descendants().toList();
        TimeUnit.MILLISECONDS.sleep(20);
      }
      assertThat(started).as(Files.readString(folder.resolve("out"))).hasSizeGreaterThan(3);
      run.destroy();
      assertThat(run.waitFor(60, TimeUnit.SECONDS)).isTrue();
      for (ProcessHandle one : started) {
        one.onExit().get(20, TimeUnit.SECONDS);
      }
    } finally {
      run.destroyForcibly().waitFor();
      started.forEach(ProcessHandle::destroyForcibly);
    }
  }

  @Test
  void aRunWritesItsReportItsPageAndItsHistory() throws Exception {
    Path page = folder.resolve("run.html");
    Path history = folder.resolve("run.jsonl");
    String toml =
        """
        scene = "store"
        seconds = 1
        settle_s = 0
        [store]
        writers = 1
        [[fault]]
        kind = "loss"
        from = ["writer-*"]
        to = ["store"]
        percent = 5
        for_s = 0.5
        """;
    int code =
        chaos(
            "run", toml, "-o", "json", "--html", page.toString(), "--history", history.toString());
    JsonNode report = new ObjectMapper().readTree(out.toString());
    assertThat(report.path("good").asBoolean()).isTrue();
    assertThat(code).isZero();
    assertThat(report.path("runs").get(0).path("counts").path("told stored").asInt()).isPositive();
    assertThat(Files.readString(page)).contains("<svg", "loss writer-* &lt;&gt; store 5 %");
    List<String> lines = Files.readAllLines(history);
    assertThat(lines).hasSize(report.path("runs").get(0).path("events").asInt());
    assertThat(new ObjectMapper().readTree(lines.get(0)).path("what").asText())
        .isEqualTo("started");
  }
}
