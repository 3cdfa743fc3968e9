package beamspread.cli;

import beamspread.fleet.Fleet;
import beamspread.fleet.Inventory;
import beamspread.fleet.api.Json;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.time.LocalTime;
import java.time.format.DateTimeFormatter;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Follows what nodes come to know of one another. */
@Command(
    name = "watch",
    description = "Prints what changes in the nodes' views of the tier, as it changes.",
    mixinStandardHelpOptions = true,
    footer = {"", "Example: ./beamspread tier watch --for 60"})
final class TierWatchCommand extends InventoryAction {
  private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("HH:mm:ss.SSS");

  @Option(
      names = "--for",
      paramLabel = "SECONDS",
      defaultValue = "0",
      description = "ends after so long (default: on Ctrl-C)")
  private long seconds;

  @Option(
      names = "--every",
      paramLabel = "SECONDS",
      defaultValue = "1",
      description = "how often the nodes are asked, 0.2 to 60 (default: ${DEFAULT-VALUE})")
  private double every;

  @Override
  public Integer call() throws Exception {
    Bounds.check(commandLine(), "--every", every, 0.2, 60);
    long until =
        seconds == 0 ? Long.MAX_VALUE : System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    Map<String, String> before = new TreeMap<>();
    boolean first = true;
    try (Fleet fleet = new Fleet(Inventory.read(inventory()))) {
      while (first || System.nanoTime() < until) {
        Map<String, String> now = said(TierAsk.of(fleet));
        for (var one : now.entrySet()) {
          String was = before.get(one.getKey());
          if (!one.getValue().equals(was)) {
            tell(one.getKey(), was, one.getValue());
          }
        }
        for (String silent : before.keySet()) {
          if (!now.containsKey(silent)) {
            tell(silent, before.get(silent), "not told any more");
          }
        }
        before = now;
        first = false;
        TimeUnit.MILLISECONDS.sleep((long) (every * 1000));
      }
    }
    return 0;
  }

  /** By node and member, what the node says of the member. */
  private static Map<String, String> said(TierAsk ask) {
    Map<String, String> said = new TreeMap<>();
    ask.tiers()
        .forEach(
            (node, tier) -> {
              said.put(node, "says of itself: " + tier.path("standing").asText());
              for (JsonNode member : tier.path("members")) {
                String name =
                    member.hasNonNull("name")
                        ? member.path("name").asText()
                        : member.path("number").asText();
                said.put(node + " on " + name, member.path("state").asText());
              }
            });
    return said;
  }

  private void tell(String what, String was, String is) {
    PrintWriter out = out();
    if (json()) {
      Map<String, Object> line = new LinkedHashMap<>();
      line.put("at_ms", System.currentTimeMillis());
      line.put("what", what);
      line.put("was", was);
      line.put("is", is);
      out.println(Json.text(line));
    } else {
      String before = was == null ? "" : ", was " + was;
      out.println(LocalTime.now().format(TIME) + "  " + what + "  " + is + before);
    }
    out.flush();
  }
}
