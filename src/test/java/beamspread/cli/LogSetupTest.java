package beamspread.cli;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.agent.AgentLog;
import beamspread.fleet.api.Json;
import ch.qos.logback.classic.LoggerContext;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.LoggerFactory;

/** What an agent's log looks like, and that it is bounded. */
class LogSetupTest {
  @TempDir Path folder;

  @AfterEach
  void asTheCommandLineHasIt() {
    new LogSetup().configure((LoggerContext) LoggerFactory.getILoggerFactory());
  }

  @Test
  void jsonLinesHaveFieldsAndTheDriversLinesToo() throws Exception {
    Path file = folder.resolve("agent.log");
    LogSetup.agent(new AgentLog(true, file, 1, 2));
    LoggerFactory.getLogger("agent")
        .atInfo()
        .addKeyValue("instance", "n1")
        .addKeyValue("token", 7L)
        .log("begun");
    LoggerFactory.getLogger("agent").error("a task failed", new IllegalStateException("odd\n"));
    java.util.logging.Logger.getLogger("org.postgresql.test").warning("from the driver");
    List<String> lines = Files.readAllLines(file);
    assertThat(lines).hasSize(3);
    JsonNode begun = Json.readTree(lines.get(0));
    assertThat(begun.path("instance").asText()).isEqualTo("n1");
    assertThat(begun.path("token").asLong()).isEqualTo(7);
    assertThat(begun.path("message").asText()).isEqualTo("begun");
    assertThat(begun.path("level").asText()).isEqualTo("INFO");
    assertThat(Json.readTree(lines.get(1)).path("error").asText()).contains("odd");
    assertThat(Json.readTree(lines.get(2)).path("logger").asText()).startsWith("org.postgresql");
  }

  @Test
  void fullFilesGiveWay() throws Exception {
    Path file = folder.resolve("agent.log");
    LogSetup.agent(new AgentLog(false, file, 1, 2));
    String text = "x".repeat(10_000);
    for (int i = 0; i < 600; i++) {
      LoggerFactory.getLogger("agent").info(text);
    }
    asTheCommandLineHasIt();
    try (var files = Files.list(folder)) {
      assertThat(files).hasSizeBetween(1, 3);
    }
  }
}
