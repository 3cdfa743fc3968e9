package beamspread.cli;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.agent.Agent;
import beamspread.fleet.api.Json;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The command line as a script sees it: output and exit codes. */
class FleetCommandTest {
  private Scratch scratch;
  private Path inventory;
  private String out;
  private String err;

  @BeforeEach
  void startAgent() throws Exception {
    scratch = new Scratch();
    inventory = scratch.folder().resolve("fleet.toml");
    for (int i = 0; i < 3; i++) {
      Files.writeString(scratch.folder().resolve("n" + i + ".json"), "{}\n");
    }
    Agent agent = scratch.agent("agent-1", 0, 3, this::instance);
    Files.writeString(
        inventory, "[[agent]]\nname = \"agent-1\"\nurl = \"%s\"\n".formatted(agent.url()));
    try (var fleet = scratch.fleet(List.of(agent))) {
      Scratch.awaitRunning(fleet, 3);
    }
  }

  private String instance(int i) {
    return Scratch.instance("n" + i, "z" + i % 2, MeasureReload.standIn(scratch.folder(), "n" + i));
  }

  @AfterEach
  void close() {
    scratch.close();
  }

  private int run(String... words) {
    CommandRun run = CommandRun.of(words);
    out = run.out();
    err = run.err();
    return run.code();
  }

  private int fleet(String... words) {
    List<String> all = new ArrayList<>(List.of("fleet", "-i", inventory.toString()));
    all.addAll(List.of(words));
    return run(all.toArray(new String[0]));
  }

  @Test
  void actionsPrintTablesOrJsonAndExitCodesTellHowItWent() throws Exception {
    assertThat(fleet("list")).isZero();
    assertThat(out.lines()).hasSize(4);
    assertThat(out).contains("agent-1  n0        z0    running");
    assertThat(fleet("reload", "--all", "-o", "json", "--by", "anna")).as(err).isZero();
    JsonNode report = Json.readTree(out);
    List<String> fields = new ArrayList<>();
    report.fieldNames().forEachRemaining(fields::add);
    assertThat(fields)
        .containsExactly("operation", "kind", "by", "started", "took_ms", "results", "unreachable");
    assertThat(report.path("by").asText()).isEqualTo("anna");
    assertThat(report.path("results")).hasSize(3);
    JsonNode first = report.path("results").get(0);
    assertThat(first.path("outcome").asText()).isEqualTo("succeeded");
    assertThat(first.path("reason").asText()).isEqualTo("generation 2");
    String operation = report.path("operation").asText();

    Files.writeString(scratch.folder().resolve("n1.json"), "refuse-me");
    assertThat(fleet("reload", "n*")).isEqualTo(1);
    assertThat(out).contains("n1        z1    failed", "told to refuse this file");
    assertThat(out).contains("what is left: ./beamspread fleet resume reload-");
    String failed = out.substring(out.indexOf("resume ") + 7).strip();
    Files.writeString(scratch.folder().resolve("n1.json"), "{}");
    assertThat(fleet("resume", failed)).as(out + err).isZero();
    assertThat(out).contains("3 succeeded");

    assertThat(fleet("history")).isZero();
    assertThat(out).contains(operation, failed, "{succeeded=3}");
    assertThat(fleet("show", failed)).isZero();
    assertThat(out).contains("refused its file").contains("succeeded");
    assertThat(fleet("show", "never-was")).isEqualTo(2);
    assertThat(err).contains("no agent has an operation 'never-was' on record");

    assertThat(fleet("restart", "--all", "--dry-run", "--max-per-zone", "1")).isZero();
    assertThat(out).contains("batch 1: agent-1/n0", "nothing was begun");
    assertThat(fleet("stop", "--zone", "z1")).as(err).isZero();
    assertThat(fleet("status")).isZero();
    assertThat(out).contains("{running=2, stopped=1}");
    assertThat(fleet("query", "n0", "-o", "json")).as(err).isZero();
    assertThat(Json.readTree(out).path("instances").get(0).path("status").path("pid").asLong())
        .isPositive();
    assertThat(fleet("log", "n0")).isZero();
    assertThat(fleet("watch", "--kept", "--for", "1")).isZero();
    assertThat(out).contains("step_ended  reload").doesNotContain("\u001b");
  }

  @Test
  void wrongUsageAndWrongInventoriesAreNamed() throws Exception {
    assertThat(fleet("reload")).isEqualTo(2);
    assertThat(err).contains("name instances, or say --all");
    assertThat(fleet("reload", "n9")).isEqualTo(2);
    assertThat(err).contains("no instance 'n9'");
    assertThat(fleet("restart", "--all", "--batch", "0")).isEqualTo(2);
    assertThat(fleet("explode")).isEqualTo(2);
    assertThat(run("fleet", "-i", "/nonexistent.toml", "list")).isEqualTo(2);
    assertThat(err).contains("/nonexistent.toml: cannot be read: no such file");
    assertThat(run()).isEqualTo(2);
    assertThat(run("agent", "--config", inventory.toString(), "--check")).isEqualTo(2);
    assertThat(err).contains(inventory + ":1: agent: unknown key", "name: is missing");
    assertThat(run("fleet", "--help")).isZero();
    assertThat(out).contains("Examples:", "Exit codes:");
    assertThat(run("generate-completion")).isZero();
    assertThat(out).contains("_complete_beamspread");
  }

  @Test
  void anAgentThatIsAwayIsToldAndTheOthersGoOn() throws Exception {
    Files.writeString(
        inventory,
        Files.readString(inventory) + "[[agent]]\nname = \"away\"\nurl = \"http://127.0.0.1:1\"\n");
    assertThat(fleet("list")).isEqualTo(3);
    assertThat(out.lines()).hasSize(4);
    assertThat(err).contains("agent away cannot be reached at http://127.0.0.1:1");
    assertThat(fleet("reload", "--all")).isEqualTo(3);
    assertThat(out).isEmpty();
    assertThat(err).contains("agent away cannot be reached", "nothing was begun", "--allow-unr");
    assertThat(fleet("reload", "--all", "-o", "json")).isEqualTo(3);
    assertThat(Json.readTree(out).path("results")).isEmpty();
    assertThat(Json.readTree(out).path("unreachable").get(0).path("agent").asText())
        .isEqualTo("away");
    assertThat(fleet("history")).isEqualTo(3);
    assertThat(out).as("nothing was begun anywhere").doesNotContain("reload-");
    assertThat(fleet("reload", "--all", "--allow-unreachable")).isEqualTo(3);
    assertThat(out).contains("3 succeeded");
    assertThat(err).contains("agent away cannot be reached", "its instances are left out");
    assertThat(fleet("reload", "agent-1/*")).as(err).isZero();
    assertThat(fleet("reload", "--agent", "agent-1")).as(err).isZero();
    assertThat(fleet("restart", "--agent", "away", "-o", "json")).isEqualTo(3);
    assertThat(Json.readTree(out).path("unreachable")).hasSize(1);
    for (String command : List.of("list", "query", "log")) {
      assertThat(fleet(command, "n7")).as(command).isEqualTo(3);
      assertThat(err).contains("no instance 'n7'", "agent away cannot be reached");
    }
    assertThat(fleet("list", "-o", "json")).isEqualTo(3);
    assertThat(Json.readTree(out).path("unreachable")).hasSize(1);
    assertThat(fleet("resume", "reload-1")).isEqualTo(3);
  }
}
