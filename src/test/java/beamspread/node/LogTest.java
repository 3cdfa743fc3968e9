package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.sim.Message;
import beamspread.sim.WireException;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The node's log lines. */
class LogTest {
  private static List<String> writeLines(Log log, int lines) {
    PrintStream before = System.err;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    System.setErr(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    try {
      for (int i = 0; i < lines; i++) {
        log.info("line \"" + i + "\"");
      }
      log.error("sweep", new IllegalStateException("odd\nthing"));
    } finally {
      System.setErr(before);
    }
    return bytes.toString(StandardCharsets.UTF_8).lines().toList();
  }

  @Test
  void writesOneJsonObjectPerLineWithAgentLogFields() throws WireException {
    List<String> lines = writeLines(new Log("n7", true), 1);
    Message first = Message.parse(lines.get(0));
    assertThat(first.names())
        .containsExactlyInAnyOrder("time", "level", "logger", "instance", "message");
    assertThat(first.text("instance", "")).isEqualTo("n7");
    assertThat(first.text("message", "")).isEqualTo("line \"0\"");
    assertThat(Message.parse(lines.get(1)).text("level", "")).isEqualTo("ERROR");
  }

  @Test
  void limitsLinesPerSecond() {
    // Writing these lines spans a few seconds at most.
    assertThat(writeLines(new Log("n7", false), 5000)).hasSizeBetween(10, 200);
  }
}
