package beamspread.cli;

import beamspread.fleet.Fleet;
import beamspread.fleet.Selection;
import beamspread.fleet.api.Api;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;

/** The agents themselves. */
@Command(
    name = "status",
    description = "Shows the agents, and how many of their instances stand where.",
    mixinStandardHelpOptions = true)
final class StatusCommand extends FleetAction {

  /** An agent and its instances by state. */
  record AgentStatus(Api.AgentView agent, Map<String, Integer> states) {}

  @Override
  int run(Fleet fleet) {
    var answers =
        fleet.ask(
            Selection.all(),
            client -> {
              Map<String, Integer> states = new TreeMap<>();
              client.instances().forEach(one -> states.merge(one.state(), 1, Integer::sum));
              return new AgentStatus(client.agent(), states);
            });
    List<AgentStatus> statuses = new ArrayList<>(answers.answers().values());
    if (json()) {
      print(statuses);
    } else {
      Table table = new Table("AGENT", "PID", "START", "INSTANCES", "STATES", "LEASES", "TROUBLE");
      for (AgentStatus status : statuses) {
        table.row(
            status.agent().name(),
            status.agent().pid(),
            status.agent().starts(),
            status.agent().instances(),
            status.states(),
            leases(status.agent()),
            status.agent().trouble() == null ? "" : status.agent().trouble());
      }
      table.print(out());
    }
    return tell(answers.failures());
  }

  private static String leases(Api.AgentView agent) {
    return agent.leases().stream()
        .map(lease -> lease.name() + " " + lease.epoch() + refused(lease))
        .collect(Collectors.joining(", "));
  }

  private static String refused(Api.LeaseSeen lease) {
    return lease.refused() == 0 ? "" : " (" + lease.refused() + " stale calls refused)";
  }
}
