package beamspread.cli;

import beamspread.fleet.Fleet;
import beamspread.fleet.Report;
import beamspread.fleet.Resume;
import beamspread.fleet.RolloutRunner;
import beamspread.fleet.api.Api;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Goes on with a rollout that was interrupted. */
@Command(
    name = "resume",
    description = "Does what is left of an operation: all that has not succeeded.",
    mixinStandardHelpOptions = true)
final class ResumeCommand extends FleetAction {
  @Parameters(paramLabel = "OPERATION", description = "its id, see 'fleet history'")
  private String operation;

  @Option(names = "--by", paramLabel = "NAME", description = "who asks (default: USER@HOST)")
  private String by;

  @Override
  int run(Fleet fleet) throws Exception {
    var answers = fleet.operation(operation);
    tell(answers.failures());
    Map<String, Api.OperationView> views = answers.answers();
    if (views.isEmpty()) {
      throw usage("no agent that answers has an operation '" + operation + "' on record");
    }
    Resume resume = Resume.of(views);
    Report report =
        new RolloutRunner(
                fleet,
                RolloutRunner.Limits.usual(),
                ReportPrinter.progress(err(), resume.plan().targets().size()))
            .run(operation, ActionCommand.by(by), resume.plan(), resume.attempts(), resume.done());
    return ActionCommand.tell(this, report, true);
  }
}
