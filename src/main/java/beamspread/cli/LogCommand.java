package beamspread.cli;

import beamspread.fleet.Fleet;
import beamspread.fleet.Target;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** The last lines of instances' logs. */
@Command(
    name = "log",
    description = "Prints the last lines that the chosen instances have written.",
    mixinStandardHelpOptions = true)
final class LogCommand extends FleetAction {
  @Mixin private SelectOptions select;

  @Option(names = "--lines", defaultValue = "20", description = "how many (default: 20)")
  private int lines;

  @Override
  int run(Fleet fleet) throws Exception {
    if (select.empty()) {
      throw usage("name instances, or say --all, --zone or --agent");
    }
    var answers = fleet.instances(select.selection());
    for (Target target : chosen(select.selection(), answers)) {
      for (String line :
          fleet.clients().get(target.agent()).log(target.instance(), Math.max(0, lines))) {
        out().println(target.path() + "  " + line.replaceAll("\\p{Cntrl}", " "));
      }
    }
    return tell(answers.failures());
  }
}
