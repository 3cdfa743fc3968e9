package beamspread.cli;

import beamspread.fleet.Fleet;
import beamspread.fleet.Selection;
import beamspread.fleet.api.Api;
import beamspread.fleet.api.Outcome;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The newest operations. */
@Command(
    name = "history",
    description = "Lists the newest operations that the agents have on record.",
    mixinStandardHelpOptions = true)
final class HistoryCommand extends FleetAction {
  @Option(names = "--most", defaultValue = "20", description = "how many (default: 20)")
  private int most;

  /** An operation over all agents. */
  record Entry(
      String operation,
      String kind,
      String by,
      long beganMs,
      String state,
      Map<String, Integer> outcomes) {}

  @Override
  int run(Fleet fleet) {
    int wanted = Math.max(1, Math.min(1000, most));
    var answers = fleet.ask(Selection.all(), client -> client.operations(wanted));
    Map<String, List<Api.OperationView>> byId = new LinkedHashMap<>();
    for (Api.OperationView view : Fleet.flat(answers)) {
      byId.computeIfAbsent(view.id(), id -> new ArrayList<>()).add(view);
    }
    List<Entry> entries = new ArrayList<>();
    byId.forEach((id, views) -> entries.add(entry(id, views)));
    entries.sort(Comparator.comparing(Entry::beganMs).reversed());
    List<Entry> shown = entries.subList(0, Math.min(wanted, entries.size()));
    if (json()) {
      print(shown);
    } else {
      Table table = new Table("BEGAN", "OPERATION", "KIND", "BY", "STATE", "OUTCOMES");
      for (Entry entry : shown) {
        table.row(
            time(entry.beganMs()),
            entry.operation(),
            entry.kind(),
            entry.by(),
            entry.state(),
            entry.outcomes());
      }
      table.print(out());
    }
    return tell(answers.failures());
  }

  private static Entry entry(String id, List<Api.OperationView> views) {
    Map<String, Integer> outcomes = new LinkedHashMap<>();
    long began = Long.MAX_VALUE;
    String state = "ended";
    for (Api.OperationView view : views) {
      began = Math.min(began, view.beganMs());
      // What is worst at any agent says how the whole stands.
      state = !view.state().equals("ended") ? view.state() : state;
      Map<String, Api.StepView> last = new LinkedHashMap<>();
      view.steps().forEach(step -> last.put(step.instance(), step));
      for (Api.StepView step : last.values()) {
        Outcome outcome = step.outcome();
        outcomes.merge(outcome == null ? "under way" : outcome.word(), 1, Integer::sum);
      }
    }
    Api.OperationView first = views.get(0);
    return new Entry(id, first.kind().word(), first.by(), began, state, outcomes);
  }
}
