package beamspread.cli;

import beamspread.fleet.Selection;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Which instances are meant. */
final class SelectOptions {
  @Parameters(
      paramLabel = "INSTANCE",
      arity = "0..*",
      description = "names, AGENT/NAME, or either with * and ?")
  List<String> names = new ArrayList<>();

  @Option(
      names = "--zone",
      paramLabel = "ZONE",
      split = ",",
      description = "only instances of this zone")
  List<String> zones = new ArrayList<>();

  @Option(
      names = "--agent",
      paramLabel = "AGENT",
      split = ",",
      description = "only instances of this agent")
  List<String> agents = new ArrayList<>();

  @Option(names = "--all", description = "all instances that the other options leave")
  boolean all;

  boolean empty() {
    return names.isEmpty() && zones.isEmpty() && agents.isEmpty() && !all;
  }

  Selection selection() {
    return new Selection(names, zones, agents);
  }
}
