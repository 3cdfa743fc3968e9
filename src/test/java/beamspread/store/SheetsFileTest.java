package beamspread.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SheetsFileTest {
  @TempDir private Path folder;

  private static Write write(int number) {
    return new Write("id" + number, false, "key" + number, new byte[300], 0);
  }

  private static List<Write> writes(int from, int to) {
    List<Write> all = new ArrayList<>();
    for (int i = from; i < to; i++) {
      all.add(write(i));
    }
    return all;
  }

  private static SqliteSheets open(Path file) throws SheetsException {
    return new SqliteSheets(file, new IdWindow(60_000), System::currentTimeMillis);
  }

  @Test
  void aBackupOfAFileInUseIsWholeAndAStoreOfItsOwn() throws Exception {
    Path file = folder.resolve("sheets.db");
    Path copy = folder.resolve("copy.db");
    try (SqliteSheets sheets = open(file)) {
      sheets.commit(writes(0, 100));
      SheetsFile.backup(file, copy);
      sheets.commit(writes(100, 150));
      assertThat(SheetsFile.summary(file)).startsWith("150 sheets, 150 ids");
    }
    assertThat(SheetsFile.faults(copy)).isEmpty();
    assertThat(SheetsFile.summary(copy))
        .isEqualTo("100 sheets, 100 ids remembered, 100 receipts given");
    try (SqliteSheets restored = open(copy)) {
      assertThat(restored.commit(List.of(write(7))).get(0).receipt()).as("known").isEqualTo(8);
      assertThat(restored.commit(List.of(write(120))).get(0).receipt()).as("new").isEqualTo(101);
    }
    assertThat(Files.exists(Path.of(copy + ".half"))).isFalse();
  }

  @Test
  void whatIsThereIsNotWrittenOverAndWhatIsNotIsNamed() throws Exception {
    Path file = folder.resolve("sheets.db");
    open(file).close();
    Path copy = folder.resolve("copy.db");
    Files.writeString(copy, "precious");
    assertThatThrownBy(() -> SheetsFile.backup(file, copy)).hasMessageContaining("there already");
    assertThat(copy).hasContent("precious");
    assertThatThrownBy(() -> SheetsFile.faults(folder.resolve("none.db")))
        .hasMessageContaining("no such file");
    assertThatThrownBy(() -> SheetsFile.summary(copy)).hasMessageContaining("can't be read");
  }
}
