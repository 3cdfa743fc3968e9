package beamspread.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class VariantSourceTest {
  private static final String RULES =
      """
      {"fleet":"main","rules":[
       {"prefix":"page/","separator":"/","field":0,"classes":["phone","tablet"],
        "requests":["read"],"max_age_s":60,"same":["phone+tablet"]}]}
      """;

  @TempDir Path folder;

  /** An owner that gets its lease back goes on with what the file said last, not with its start. */
  @Test
  void whatWasTakenOverLastStays() throws Exception {
    Path path = Files.writeString(folder.resolve("variants.json"), RULES);
    List<String> troubles = new ArrayList<>();
    VariantSource source = new VariantSource(path);
    assertThat(source.reread(troubles::add)).isFalse();
    assertThat(source.file().rows()).containsOnlyKeys("page/");
    Files.writeString(path, RULES.replace(",\"same\":[\"phone+tablet\"]", ""));
    assertThat(source.reread(troubles::add)).isTrue();
    assertThat(source.reread(troubles::add)).isFalse();
    assertThat(source.file().rows()).isEmpty();
    Files.writeString(path, RULES.replace("main", "other"));
    assertThat(source.reread(troubles::add)).isFalse();
    assertThat(source.reread(troubles::add)).isFalse();
    Files.writeString(path, RULES.replace("\"field\":0,", ""));
    assertThat(source.reread(troubles::add)).isFalse();
    assertThat(source.file().rows()).isEmpty();
    assertThat(troubles)
        .containsExactly(
            path + ": another fleet; the file before stays",
            path
                + ": rules[0].either a field or a name says where the class stands;"
                + " the file before stays");
  }
}
