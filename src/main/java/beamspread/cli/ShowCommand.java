package beamspread.cli;

import beamspread.fleet.Fleet;
import beamspread.fleet.api.Api;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** One operation in full. */
@Command(
    name = "show",
    description = "Shows every step of an operation as the agents have it on record.",
    mixinStandardHelpOptions = true)
final class ShowCommand extends FleetAction {
  @Parameters(paramLabel = "OPERATION", description = "its id, see 'fleet history'")
  private String operation;

  @Override
  int run(Fleet fleet) {
    var answers = fleet.operation(operation);
    if (answers.answers().isEmpty()) {
      int code = tell(answers.failures());
      if (code != 0) {
        return code;
      }
      throw usage("no agent has an operation '" + operation + "' on record");
    }
    if (json()) {
      print(answers.answers());
    } else {
      Table table =
          new Table("AGENT", "STATE", "INSTANCE", "TRY", "BEGAN", "OUTCOME", "TOOK", "REASON");
      answers
          .answers()
          .forEach(
              (agent, view) -> {
                for (Api.StepView step : view.steps()) {
                  table.row(
                      agent,
                      view.state(),
                      step.instance(),
                      step.attempt(),
                      time(step.beganMs()),
                      step.outcome() == null ? "under way" : step.outcome().word(),
                      step.outcome() == null ? null : step.endedMs() - step.beganMs() + " ms",
                      step.reason() == null ? "" : step.reason());
                }
              });
      Api.OperationView any = answers.answers().values().iterator().next();
      out().println(any.kind().word() + " " + any.id() + " by " + any.by());
      table.print(out());
    }
    return tell(answers.failures());
  }
}
