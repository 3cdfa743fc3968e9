package beamspread.scale;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.fleet.api.Json;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/**
 * The capacity page says nothing that its run did not: each measured figure stands before its name
 * and size, as {@code 2.4 [node.heap_mb@490]}, and is the one in the results file.
 */
class CapacityPageTest {
  private static final Pattern FIGURE =
      Pattern.compile("([0-9][0-9,.]*)[^0-9|\\[]*\\[([a-z_0-9.]+)@([0-9]+)]");

  private static List<String> faults(String page, JsonNode results) {
    List<String> faults = new ArrayList<>();
    for (String line : page.split("\n")) {
      boolean measured = line.startsWith("|") && line.contains("| measured |");
      Matcher figure = FIGURE.matcher(line);
      int found = 0;
      while (figure.find()) {
        found++;
        JsonNode value = results.path("sizes").path(figure.group(3)).path(figure.group(2));
        BigDecimal said = new BigDecimal(figure.group(1).replace(",", ""));
        if (value.isMissingNode()) {
          faults.add("not in the results: " + figure.group());
        } else if (said.compareTo(value.decimalValue()) != 0) {
          faults.add(figure.group() + " is " + value.decimalValue().toPlainString());
        }
      }
      int named = line.split("@", -1).length - 1;
      if (found != named || (measured && found == 0)) {
        faults.add("a row without its figures: " + line);
      }
    }
    return faults;
  }

  private static JsonNode tree(String text) throws IOException {
    return new com.fasterxml.jackson.databind.ObjectMapper()
        .enable(com.fasterxml.jackson.databind.DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
        .readTree(text);
  }

  @Test
  void eachFigureOfThePageIsInTheResults() throws IOException {
    String page = Files.readString(Path.of("docs/CAPACITY.md"));
    JsonNode results = tree(Files.readString(Path.of("docs/measurements/scale.json")));
    assertThat(faults(page, results)).isEmpty();
    assertThat(FIGURE.matcher(page).results().count()).isGreaterThan(20);
    assertThat(results.path("sizes").size()).isGreaterThanOrEqualTo(3);
  }

  @Test
  void aFigureThatDriftedAwayIsFound() throws IOException {
    JsonNode results = tree(Json.text(java.util.Map.of("sizes", java.util.Map.of())));
    assertThat(faults("| a | measured | 1 [node.heap_mb@490] |", results)).hasSize(1);
    JsonNode one = tree("{\"sizes\":{\"490\":{\"node.heap_mb\":1.50}}}");
    assertThat(faults("| a | measured | 1.5 MB [node.heap_mb@490] |", one)).isEmpty();
    assertThat(faults("| a | measured | 1.6 MB [node.heap_mb@490] |", one)).hasSize(1);
    assertThat(faults("| a | measured | 1.5 MB |", one)).hasSize(1);
    assertThat(faults("| a | computed | about [node.heap_mb@490] |", one)).hasSize(1);
  }
}
