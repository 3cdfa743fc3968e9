package beamspread.record;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.Statement;
import java.util.List;
import java.util.Properties;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The record in SQLite. */
class SqliteRecordTest extends RecordContract {
  @TempDir Path folder;

  @Override
  FleetRecord open(String agent) throws Exception {
    return JdbcRecord.sqlite(folder.resolve("record.db"), agent);
  }

  @Test
  void aNewerSchemaIsLeftAlone() throws Exception {
    open("a1").close();
    String url = "jdbc:sqlite:" + folder.resolve("record.db");
    try (Connection connection = DriverManager.getConnection(url);
        Statement statement = connection.createStatement()) {
      statement.execute("INSERT INTO schema_version VALUES (99, 0)");
    }
    assertThatThrownBy(() -> open("a1"))
        .isInstanceOf(RecordException.class)
        .hasMessageContaining("schema version 99, this program knows up to " + Schema.VERSION);
  }

  @Test
  void anOlderSchemaIsBroughtUp() throws Exception {
    try (FleetRecord record = open("a1")) {
      record.commit(List.of(operation("op1", 1)));
    }
    String url = "jdbc:sqlite:" + folder.resolve("record.db");
    try (Connection connection = DriverManager.getConnection(url);
        Statement statement = connection.createStatement()) {
      statement.execute("DELETE FROM schema_version WHERE version >= 2");
      statement.execute("DROP TABLE fleet_lease");
      statement.execute("DROP TABLE instance");
      statement.execute("DROP INDEX operation_by_time");
    }
    try (FleetRecord record = open("a1")) {
      record.commit(List.of(new RecordChange.InstanceDesired("n1", true)));
      assertThat(record.operation("op1")).isPresent();
    }
  }

  @Test
  void aFileThatIsNoDatabaseIsRefusedAndLeftAsItIs() throws Exception {
    Files.writeString(
        folder.resolve("record.db"), "not a database, but somebody's notes\n".repeat(40));
    byte[] before = Files.readAllBytes(folder.resolve("record.db"));
    assertThatThrownBy(() -> open("a1"))
        .isInstanceOf(RecordException.class)
        .hasMessageContaining("record.db");
    assertThat(Files.readAllBytes(folder.resolve("record.db"))).isEqualTo(before);
  }

  @Test
  void aFullDiskIsToldAndKeepsWhatWasAcknowledged() throws Exception {
    Properties pragmas = new Properties();
    pragmas.setProperty("max_page_count", "24");
    int acknowledged = 0;
    Path file = folder.resolve("record.db");
    try (FleetRecord record = JdbcRecord.sqlite(file, "a1", pragmas)) {
      RecordException full = null;
      while (full == null && acknowledged < 10_000) {
        try {
          record.commit(List.of(operation("op" + acknowledged, 1)));
          acknowledged++;
        } catch (RecordException e) {
          full = e;
        }
      }
      assertThat(full).hasMessageContaining("could not be written").hasMessageContaining("full");
      assertThat(record.operations(20_000)).hasSize(acknowledged);
    }
    try (FleetRecord record = open("a1")) {
      assertThat(record.operations(20_000)).hasSize(acknowledged);
      record.commit(List.of(operation("afterwards", 2)));
    }
  }

  /** Writes steps and says on standard output which of them are acknowledged; runs until killed. */
  static final class Writer {
    private Writer() {}

    /** The file is the first argument. */
    public static void main(String[] args) throws Exception {
      try (FleetRecord record = JdbcRecord.sqlite(Path.of(args[0]), "a1")) {
        record.started(record.starts() + 1);
        long from = record.starts() * 1_000_000;
        for (int i = 0; i < 100_000; i++) {
          String id = "op" + (from + i);
          record.commit(
              List.of(
                  operation(id, i),
                  step(id, "n1", 1),
                  new RecordChange.StepEnded(id, "n1", 1, "succeeded", "", i)));
          System.out.println(id);
        }
      }
    }
  }

  @Test
  void aWriterKilledAtRandomPointsKeepsEveryStepThatWasAcknowledged() throws Exception {
    long seed = Long.getLong("seed", 20261201L);
    System.out.println("seed " + seed);
    Random random = new Random(seed);
    Path file = folder.resolve("record.db");
    int acknowledged = 0;
    for (int round = 0; round < 6; round++) {
      Process writer =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-cp",
                  System.getProperty("java.class.path"),
                  Writer.class.getName(),
                  file.toString())
              .redirectError(ProcessBuilder.Redirect.INHERIT)
              .start();
      int killAfter = 1 + random.nextInt(60);
      List<String> told = new java.util.ArrayList<>();
      try (BufferedReader lines =
          new BufferedReader(
              new InputStreamReader(writer.getInputStream(), StandardCharsets.UTF_8))) {
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
          told.add(line);
          if (told.size() == killAfter) {
            // Not the process itself, whose destroy would drop what it has printed.
            writer.toHandle().destroyForcibly();
          }
        }
      }
      writer.waitFor();
      assertThat(told).hasSizeGreaterThanOrEqualTo(killAfter);
      acknowledged += told.size();
      try (FleetRecord record = open("a1")) {
        for (String id : told) {
          assertThat(record.steps(id)).extracting(Rows.Step::outcome).containsExactly("succeeded");
        }
        assertThat(record.openSteps()).isEmpty();
        assertThat(record.operations(200_000))
            .hasSizeBetween(acknowledged, acknowledged + round + 1);
      }
    }
  }
}
