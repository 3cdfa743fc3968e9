package beamspread.cli;

import beamspread.fleet.Fleet;
import beamspread.fleet.api.Api;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Lists instances. */
@Command(
    name = "list",
    description = "Lists instances: where they stand, and why.",
    mixinStandardHelpOptions = true)
final class ListCommand extends FleetAction {
  @Mixin private SelectOptions select;

  @Override
  int run(Fleet fleet) throws Exception {
    var answers = fleet.instances(select.selection());
    List<Api.InstanceView> views = Fleet.flat(answers);
    if (!select.empty()) {
      var chosen = chosen(select.selection(), answers);
      views =
          views.stream()
              .filter(
                  view ->
                      chosen.stream()
                          .anyMatch(
                              one ->
                                  one.agent().equals(view.agent())
                                      && one.instance().equals(view.name())))
              .toList();
    }
    if (json()) {
      print(new Listing(views, answers.unreachable()));
    } else {
      table(views).print(out());
    }
    return tell(answers.failures());
  }

  static Table table(List<Api.InstanceView> views) {
    Table table =
        new Table("AGENT", "INSTANCE", "ZONE", "STATE", "PID", "SINCE", "GEN", "HELD BY", "REASON");
    for (Api.InstanceView view : views) {
      table.row(
          view.agent(),
          view.name(),
          view.zone(),
          view.state(),
          view.pid(),
          time(view.sinceMs()),
          view.status() == null ? null : view.status().path("generation").asText(),
          view.held() == null ? null : view.held().by() + " (" + view.held().operation() + ")",
          view.reason() == null ? "" : view.reason());
    }
    return table;
  }
}
