package beamspread.cli;

import beamspread.fleet.Fleet;
import beamspread.fleet.Target;
import beamspread.fleet.api.Api;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Asks nodes what they say of themselves now. */
@Command(
    name = "query",
    description = "Asks the chosen nodes for their status now.",
    mixinStandardHelpOptions = true)
final class QueryCommand extends FleetAction {
  @Mixin private SelectOptions select;

  @Override
  int run(Fleet fleet) throws Exception {
    var answers = fleet.instances(select.selection());
    List<Target> targets = chosen(select.selection(), answers);
    Map<String, List<Target>> byAgent = new TreeMap<>();
    targets.forEach(
        one -> byAgent.computeIfAbsent(one.agent(), agent -> new ArrayList<>()).add(one));
    long asked = System.currentTimeMillis();
    var views =
        fleet.ask(
            select.selection(),
            client -> {
              List<Api.InstanceView> found = new ArrayList<>();
              for (Target target : byAgent.getOrDefault(client.name(), List.of())) {
                found.add(client.query(target.instance()));
              }
              return found;
            });
    views.failures().putAll(answers.failures());
    int code = tell(views.failures());
    List<Api.InstanceView> all = Fleet.flat(views);
    if (json()) {
      print(new Listing(all, views.unreachable()));
    } else {
      Table table =
          new Table(
              "AGENT",
              "INSTANCE",
              "STATE",
              "LISTEN",
              "GEN",
              "DIGEST",
              "OPEN",
              "CLIENTS",
              "SERVER CONNS",
              "SERVERS",
              "LEAVING",
              "DRAINING",
              "REFUSED FILE");
      for (Api.InstanceView view : all) {
        JsonNode says = view.status();
        if (says == null) {
          table.row(
              view.agent(),
              view.name(),
              view.state(),
              null,
              null,
              null,
              null,
              null,
              null,
              null,
              null,
              null,
              "");
        } else {
          table.row(
              view.agent(),
              view.name(),
              view.state(),
              says.path("listen").asText(),
              says.path("generation").asText(),
              says.path("digest")
                  .asText()
                  .substring(0, Math.min(12, says.path("digest").asText().length())),
              says.path("open_requests").asText(),
              says.path("client_connections").asText(),
              says.path("server_connections").asText(),
              says.path("servers").path("active").asText(),
              says.path("servers").path("leaving").asText(),
              says.path("draining").asText(),
              says.hasNonNull("refusal") ? says.path("refusal").asText() : "");
        }
      }
      table.print(out());
    }
    for (Api.InstanceView view : all) {
      if (view.pid() != null && view.heardMs() < asked) {
        err().println(view.agent() + "/" + view.name() + " runs, but did not say its status");
        code = UNKNOWN;
      }
    }
    return code;
  }
}
