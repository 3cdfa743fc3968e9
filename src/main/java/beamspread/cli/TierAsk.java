package beamspread.cli;

import beamspread.fleet.Fleet;
import beamspread.fleet.Selection;
import beamspread.fleet.Unreachable;
import beamspread.fleet.api.Api;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What all nodes of a fleet say of their tier now.
 *
 * @param tiers by node, the field {@code tier} of its status
 * @param silent nodes that run and did not say it
 * @param unreachable agents that gave no answer
 */
record TierAsk(Map<String, JsonNode> tiers, List<String> silent, List<Unreachable> unreachable) {
  static TierAsk of(Fleet fleet) {
    var answers =
        fleet.ask(
            Selection.all(),
            client -> {
              List<Api.InstanceView> found = new ArrayList<>();
              for (Api.InstanceView one : client.instances()) {
                if (one.pid() != null) {
                  found.add(client.query(one.name()));
                }
              }
              return found;
            });
    Map<String, JsonNode> tiers = new TreeMap<>();
    List<String> silent = new ArrayList<>();
    for (Api.InstanceView one : Fleet.flat(answers)) {
      if (one.status() != null && one.status().hasNonNull("tier")) {
        tiers.put(one.name(), one.status().get("tier"));
      } else {
        silent.add(one.name());
      }
    }
    return new TierAsk(tiers, silent, answers.unreachable());
  }
}
