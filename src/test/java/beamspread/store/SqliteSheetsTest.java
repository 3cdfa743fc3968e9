package beamspread.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SqliteSheetsTest {
  @TempDir private Path folder;
  private Path file;
  private final AtomicLong millis = new AtomicLong(1_800_000_000_000L);

  @BeforeEach
  void name() {
    file = folder.resolve("sheets.db");
  }

  private SqliteSheets open() throws SheetsException {
    return new SqliteSheets(file, new IdWindow(60_000), millis::get);
  }

  private static Write write(String id, boolean repeat, String key, String value) {
    return new Write(id, repeat, key, value.getBytes(StandardCharsets.UTF_8), 0);
  }

  private static String text(SqliteSheets sheets, String key) throws SheetsException {
    return sheets
        .read(key)
        .map(one -> new String(one.value(), StandardCharsets.UTF_8) + " v" + one.version())
        .orElse("none");
  }

  @Test
  void aRetryGetsTheFirstReceiptInTheSameBatchLaterAndAfterARestart() throws Exception {
    try (SqliteSheets sheets = open()) {
      List<Write.Answer> first =
          sheets.commit(
              List.of(
                  write("a", false, "k", "one"),
                  write("a", true, "k", "one"),
                  write("b", false, "k", "two")));
      assertThat(first).extracting(Write.Answer::receipt).containsExactly(1L, 1L, 2L);
      assertThat(sheets.commit(List.of(write("a", true, "k", "one"))).get(0).receipt())
          .isEqualTo(1);
      assertThat(text(sheets, "k")).isEqualTo("two v2");
    }
    try (SqliteSheets sheets = open()) {
      assertThat(sheets.commit(List.of(write("b", true, "k", "two"))).get(0).receipt())
          .isEqualTo(2);
      assertThat(text(sheets, "k")).isEqualTo("two v2");
      assertThat(text(sheets, "other")).isEqualTo("none");
    }
  }

  @Test
  void aRetryAfterTheWindowIsNeverASecondEffectThoughTheClockGoesBack() throws Exception {
    try (SqliteSheets sheets = open()) {
      sheets.commit(List.of(write("old", false, "k", "one")));
      millis.addAndGet(-30_000);
      assertThat(sheets.commit(List.of(write("x1", false, "x", "x"))).get(0).fate())
          .isEqualTo(Write.Fate.STORED);
      millis.addAndGet(95_000);
      sheets.commit(List.of(write("x2", false, "x", "x")));
      Write.Answer late = sheets.commit(List.of(write("old", true, "k", "one"))).get(0);
      assertThat(late.fate()).isEqualTo(Write.Fate.TOO_OLD);
      assertThat(text(sheets, "k")).isEqualTo("one v1");
      assertThat(sheets.commit(List.of(write("new", false, "k", "two"))).get(0).fate())
          .isEqualTo(Write.Fate.STORED);
    }
  }

  @Test
  void aSecondStoreOnTheSameFileIsRefusedAndTheFirstGoesOn() throws Exception {
    try (SqliteSheets sheets = open()) {
      assertThatThrownBy(this::open)
          .isInstanceOf(SheetsException.class)
          .hasMessageContaining("in use by another store");
      assertThat(sheets.commit(List.of(write("a", false, "k", "one"))).get(0).receipt())
          .isEqualTo(1);
    }
    open().close();
  }

  @Test
  void aDamagedFileIsRefusedWithAReport() throws Exception {
    try (SqliteSheets sheets = open()) {
      List<Write> many = new ArrayList<>();
      for (int i = 0; i < 500; i++) {
        many.add(write("id" + i, false, "key" + i, "v".repeat(200)));
      }
      sheets.commit(many);
    }
    byte[] whole = Files.readAllBytes(file);
    for (int i = 8192; i < 8192 + 4096; i++) {
      whole[i] ^= 0x5a;
    }
    Files.write(file, whole, StandardOpenOption.TRUNCATE_EXISTING);
    assertThatThrownBy(this::open)
        .isInstanceOf(SheetsException.class)
        .hasMessageContaining(file.toString());
    assertThat(Files.readAllBytes(file)).as("nothing is changed").isEqualTo(whole);
  }

  @Test
  void aNewerSchemaAndAMissingFolderAreNamed() throws Exception {
    open().close();
    try (Connection other = DriverManager.getConnection("jdbc:sqlite:" + file);
        Statement statement = other.createStatement()) {
      statement.execute("PRAGMA user_version = 99");
    }
    assertThatThrownBy(this::open).hasMessageContaining("schema version 99");
    file = folder.resolve("nowhere").resolve("sheets.db");
    assertThatThrownBy(this::open).hasMessageContaining("there is no folder");
  }

  @Test
  void aFullDiskRefusesTheBatchHarmlesslyAndWhatWasStoredStays() throws Exception {
    try (SqliteSheets sheets = open()) {
      sheets.commit(List.of(write("a", false, "k", "one")));
      // The file may grow no further: what SQLite sees of a full disk.
      sheets.pragma("max_page_count = 1");
      SheetsException full =
          catchThrowableOfType(
              SheetsException.class,
              () -> sheets.commit(List.of(write("b", false, "big", "v".repeat(100_000)))));
      assertThat(full).hasMessageContaining("no room left");
      assertThat(full.harmless()).isTrue();
      assertThat(text(sheets, "big")).isEqualTo("none");
      sheets.pragma("max_page_count = 100000");
      assertThat(sheets.commit(List.of(write("b", true, "big", "v"))).get(0).receipt())
          .isEqualTo(2);
    }
  }
}
