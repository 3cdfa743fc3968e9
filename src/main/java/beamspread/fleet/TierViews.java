package beamspread.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The views that nodes have of their tier, side by side: where they differ, since when, and which
 * links work in one direction only.
 *
 * @param nodes each node's own standing, by name
 * @param differences members of which not all say the same
 * @param links what single nodes do not hear
 */
public record TierViews(List<Node> nodes, List<Difference> differences, List<Link> links) {

  /**
   * A node's view.
   *
   * @param here members that it takes for here
   * @param away members that it takes for gone or left
   * @param group nodes of one group see the same; the largest group is 1
   */
  public record Node(
      String node,
      int number,
      String standing,
      double hears,
      double heardBy,
      double bothWays,
      int here,
      int away,
      String digest,
      int group) {}

  /**
   * A member of which not all say the same.
   *
   * @param states by state, the nodes that say so
   * @param sinceMs for how long the views have differed: since the latest change of one of them
   */
  public record Difference(String member, Map<String, List<String>> states, long sinceMs) {}

  /**
   * A link on which one does not hear the other.
   *
   * @param oneWay whether the other does hear the one
   */
  public record Link(String from, String to, boolean oneWay) {}

  /** Whether all see the same and every link works. */
  public boolean whole() {
    return differences.isEmpty() && links.isEmpty();
  }

  /**
   * Sets views side by side.
   *
   * @param statuses by node, the field {@code tier} of its status
   */
  public static TierViews of(Map<String, JsonNode> statuses) {
    Map<Integer, String> names = names(statuses);
    return new TierViews(nodes(statuses), differences(statuses, names), links(statuses, names));
  }

  private static Map<Integer, String> names(Map<String, JsonNode> statuses) {
    Map<Integer, String> names = new TreeMap<>();
    for (JsonNode tier : statuses.values()) {
      for (JsonNode member : tier.path("members")) {
        if (member.hasNonNull("name")) {
          names.put(member.path("number").asInt(), member.path("name").asText());
        }
      }
    }
    return names;
  }

  private static String name(Map<Integer, String> names, int number) {
    return names.getOrDefault(number, "number " + number);
  }

  private static List<Node> nodes(Map<String, JsonNode> statuses) {
    Map<String, Integer> sizes = new TreeMap<>();
    statuses.values().forEach(tier -> sizes.merge(tier.path("digest").asText(), 1, Integer::sum));
    List<String> order = new ArrayList<>(sizes.keySet());
    order.sort((one, other) -> sizes.get(other) - sizes.get(one));
    List<Node> nodes = new ArrayList<>();
    statuses.forEach(
        (node, tier) -> {
          int here = 0;
          for (JsonNode member : tier.path("members")) {
            here += here(member.path("state").asText()) ? 1 : 0;
          }
          JsonNode connected = tier.path("connected");
          String digest = tier.path("digest").asText();
          nodes.add(
              new Node(
                  node,
                  tier.path("self").asInt(),
                  tier.path("superseded").asBoolean()
                      ? "superseded"
                      : tier.path("standing").asText(),
                  connected.path("hears").asDouble(),
                  connected.path("heard_by").asDouble(),
                  connected.path("both_ways").asDouble(),
                  here,
                  tier.path("members").size() - here,
                  digest,
                  order.indexOf(digest) + 1));
        });
    return nodes;
  }

  private static boolean here(String state) {
    return !state.equals("gone") && !state.equals("left");
  }

  private static List<Difference> differences(
      Map<String, JsonNode> statuses, Map<Integer, String> names) {
    // By member and state, who says so; and when the last of them came to say it.
    Map<Integer, Map<String, List<String>>> says = new TreeMap<>();
    Map<Integer, Long> since = new TreeMap<>();
    statuses.forEach(
        (node, tier) -> {
          for (JsonNode member : tier.path("members")) {
            int number = member.path("number").asInt();
            String state = member.path("state").asText();
            // Who is suspect is here: how many miss it is told with the links.
            String said =
                (state.equals("suspect") ? "alive" : state)
                    + " "
                    + member.path("incarnation").asText()
                    + "/"
                    + member.path("life").asText();
            says.computeIfAbsent(number, key -> new LinkedHashMap<>())
                .computeIfAbsent(said, key -> new ArrayList<>())
                .add(node);
            since.merge(number, member.path("since_ms").asLong(), Math::min);
          }
        });
    List<Difference> differences = new ArrayList<>();
    says.forEach(
        (number, states) -> {
          int told = states.values().stream().mapToInt(List::size).sum();
          if (told < statuses.size()) {
            List<String> silent = new ArrayList<>(statuses.keySet());
            states.values().forEach(silent::removeAll);
            states.put("unknown", silent);
          }
          if (states.size() > 1) {
            differences.add(new Difference(name(names, number), states, since.get(number)));
          }
        });
    return differences;
  }

  private static List<Link> links(Map<String, JsonNode> statuses, Map<Integer, String> names) {
    Map<String, int[]> missing = new TreeMap<>();
    for (JsonNode tier : statuses.values()) {
      for (JsonNode member : tier.path("members")) {
        for (JsonNode by : member.path("missed_by")) {
          int from = member.path("number").asInt();
          missing.put(from + ">" + by.asInt(), new int[] {from, by.asInt()});
        }
      }
    }
    List<Link> links = new ArrayList<>();
    missing
        .values()
        .forEach(
            link ->
                links.add(
                    new Link(
                        name(names, link[0]),
                        name(names, link[1]),
                        !missing.containsKey(link[1] + ">" + link[0]))));
    return links;
  }
}
