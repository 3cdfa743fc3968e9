package beamspread.cli;

import beamspread.fleet.Fleet;
import beamspread.fleet.Inventory;
import beamspread.fleet.TierViews;
import beamspread.fleet.api.Json;
import java.io.PrintWriter;
import java.util.LinkedHashMap;
import java.util.Map;
import picocli.CommandLine.Command;

/** All views of a tier side by side. */
@Command(
    name = "view",
    description =
        "Asks each node for its view of the tier and sets them side by side: where they differ,"
            + " since when, and which links work in one direction only.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Example: ./beamspread tier view -i deploy/fleet.toml",
      "",
      "Exit codes: 0 if all see the same and every link works, 1 if not, 2 for a wrong option or",
      "inventory, 3 if a node or an agent did not say."
    })
final class TierViewCommand extends InventoryAction {

  @Override
  public Integer call() throws Exception {
    try (Fleet fleet = new Fleet(Inventory.read(inventory()))) {
      TierAsk ask = TierAsk.of(fleet);
      TierViews views = TierViews.of(ask.tiers());
      PrintWriter out = out();
      if (json()) {
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put("views", views);
        tree.put("silent", ask.silent());
        tree.put("unreachable", ask.unreachable());
        out.println(Json.text(tree));
      } else {
        print(views, out);
      }
      out.flush();
      PrintWriter err = err();
      ask.unreachable().forEach(away -> err.println(away.reason()));
      ask.silent()
          .forEach(
              node ->
                  err.println(node + " tells no tier: tier_file and status_socket must be named"));
      err.flush();
      if (!ask.silent().isEmpty() || !ask.unreachable().isEmpty()) {
        return UNKNOWN;
      }
      return views.whole() ? 0 : 1;
    }
  }

  private static void print(TierViews views, PrintWriter out) {
    Table table =
        new Table(
            "NODE",
            "NUMBER",
            "STANDING",
            "HEARS",
            "HEARD BY",
            "BOTH",
            "HERE",
            "AWAY",
            "DIGEST",
            "VIEW");
    for (TierViews.Node node : views.nodes()) {
      table.row(
          node.node(),
          node.number(),
          node.standing(),
          node.hears(),
          node.heardBy(),
          node.bothWays(),
          node.here(),
          node.away(),
          node.digest(),
          node.group());
    }
    table.print(out);
    for (TierViews.Difference one : views.differences()) {
      out.printf("%s differs, for %.1f s:%n", one.member(), one.sinceMs() / 1000.0);
      one.states()
          .forEach((state, nodes) -> out.printf("  %s at %s%n", state, String.join(", ", nodes)));
    }
    for (TierViews.Link link : views.links()) {
      out.printf(
          "%s does not hear %s%s%n",
          link.to(), link.from(), link.oneWay() ? ", which hears it" : ", nor the other way");
    }
    if (views.whole()) {
      out.println("all see the same");
    }
  }
}
