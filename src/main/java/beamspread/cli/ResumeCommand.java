package beamspread.cli;

import beamspread.fleet.Fleet;
import beamspread.fleet.Report;
import beamspread.fleet.Resume;
import beamspread.fleet.RolloutRunner;
import beamspread.fleet.Unreachable;
import beamspread.fleet.WorkLease;
import beamspread.fleet.api.Api;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
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

  @Mixin private AwayOptions away;
  @Mixin private LeaseOptions lease;

  /** What is left is read only once nobody else can change it. */
  @Override
  int run(Fleet fleet) throws Exception {
    return lease.under(this, fleet, ActionCommand.by(by), away, held -> resume(fleet, held));
  }

  private int resume(Fleet fleet, WorkLease held) throws Exception {
    var answers = fleet.operation(operation);
    List<Unreachable> unreachable = answers.unreachable();
    tell(answers.failures());
    Map<String, Api.OperationView> views = answers.answers();
    if (views.isEmpty() && !unreachable.isEmpty()) {
      throw new AwayException(
          "no agent that answers has an operation '" + operation + "' on record", unreachable);
    }
    if (views.isEmpty()) {
      throw usage("no agent that answers has an operation '" + operation + "' on record");
    }
    Resume resume = Resume.of(views);
    if (!unreachable.isEmpty() && !away.allow) {
      err().println(ActionCommand.LEFT_ALONE);
      return ActionCommand.tell(
          this,
          new Report(
              null, resume.plan().kind(), ActionCommand.by(by), 0, 0, List.of(), unreachable));
    }
    var progress = ReportPrinter.progress(err(), resume.plan().targets().size());
    Report report =
        new RolloutRunner(fleet, RolloutRunner.Limits.usual(), progress, held)
            .run(operation, ActionCommand.by(by), resume.plan(), resume.attempts(), resume.done());
    return ActionCommand.tell(this, report.without(unreachable));
  }
}
