package beamspread.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.fleet.api.Json;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Views of a tier side by side. */
class TierViewsTest {
  private static JsonNode member(int number, String state, int life, Integer... missedBy) {
    return Json.tree(
        Map.of(
            "number",
            number,
            "name",
            "n" + number,
            "state",
            state,
            "incarnation",
            "5f",
            "life",
            life,
            "since_ms",
            1000 * (number + 1),
            "missed_by",
            List.of(missedBy)));
  }

  private static JsonNode tier(int self, String digest, JsonNode... members) {
    return Json.tree(
        Map.of(
            "self",
            self,
            "standing",
            "alive",
            "digest",
            digest,
            "connected",
            Map.of("hears", 1.0, "heard_by", 0.5, "both_ways", 0.5, "of", 3),
            "members",
            List.of(members)));
  }

  @Test
  void whereAllSeeTheSameNothingIsToBeSaid() {
    Map<String, JsonNode> all = new TreeMap<>();
    for (int i = 0; i < 3; i++) {
      all.put("n" + i, tier(i, "aa", member(0, "alive", 0), member(1, "alive", 2)));
    }
    TierViews views = TierViews.of(all);
    assertThat(views.whole()).isTrue();
    assertThat(views.nodes()).hasSize(3).allMatch(node -> node.group() == 1 && node.here() == 2);
    assertThat(views.nodes().get(2).heardBy()).isEqualTo(0.5);
  }

  @Test
  void whatDiffersIsNamedWithWhoSaysItAndForHowLong() {
    Map<String, JsonNode> all = new TreeMap<>();
    all.put("n0", tier(0, "aa", member(0, "alive", 0), member(1, "gone", 0)));
    all.put("n1", tier(1, "bb", member(0, "alive", 0), member(1, "alive", 0)));
    all.put("n2", tier(2, "aa", member(0, "alive", 0), member(1, "gone", 0)));
    all.put("n3", tier(3, "cc", member(0, "alive", 0)));
    TierViews views = TierViews.of(all);
    assertThat(views.whole()).isFalse();
    assertThat(views.nodes().get(0).group()).isEqualTo(1);
    assertThat(views.nodes().get(2).group()).isEqualTo(1);
    assertThat(views.nodes().get(1).group()).isNotEqualTo(1);
    assertThat(views.nodes().get(0).away()).isEqualTo(1);
    assertThat(views.differences()).hasSize(1);
    TierViews.Difference one = views.differences().get(0);
    assertThat(one.member()).isEqualTo("n1");
    assertThat(one.sinceMs()).isEqualTo(2000);
    assertThat(one.states())
        .containsOnly(
            Map.entry("gone 5f/0", List.of("n0", "n2")),
            Map.entry("alive 5f/0", List.of("n1")),
            Map.entry("unknown", List.of("n3")));
  }

  @Test
  void linksThatWorkOneWayAreToldFromThoseThatDoNotWorkAtAll() {
    Map<String, JsonNode> all = new TreeMap<>();
    JsonNode[] members = {
      member(0, "suspect", 0, 1),
      member(1, "alive", 0),
      member(2, "suspect", 0, 3),
      member(3, "suspect", 0, 2)
    };
    all.put("n0", tier(0, "aa", members));
    all.put("n1", tier(1, "aa", members));
    TierViews views = TierViews.of(all);
    assertThat(views.differences()).isEmpty();
    assertThat(views.links())
        .containsExactly(
            new TierViews.Link("n0", "n1", true),
            new TierViews.Link("n2", "n3", false),
            new TierViews.Link("n3", "n2", false));
  }
}
