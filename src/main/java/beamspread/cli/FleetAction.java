package beamspread.cli;

import beamspread.fleet.AgentCallException;
import beamspread.fleet.Fleet;
import beamspread.fleet.Inventory;
import beamspread.fleet.Selection;
import beamspread.fleet.Target;
import beamspread.fleet.api.Api;
import beamspread.fleet.api.Json;
import java.io.PrintWriter;
import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;

/** A subcommand that talks to the agents of the inventory. */
abstract class FleetAction implements Callable<Integer> {
  private static final DateTimeFormatter TIME =
      DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss").withZone(ZoneId.systemDefault());

  @CommandLine.ParentCommand private FleetCommand parent;
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** The exit code where nobody knows. */
  static final int UNKNOWN = 3;

  /** Does it; returns the exit code. */
  abstract int run(Fleet fleet) throws Exception;

  @Override
  public final Integer call() throws Exception {
    try (Fleet fleet = new Fleet(Inventory.read(parent.inventory))) {
      return run(fleet);
    } catch (AwayException e) {
      if (json()) {
        print(new Listing(List.of(), e.unreachable()));
      }
      e.unreachable().forEach(away -> err().println(away.reason()));
      err().println(e.getMessage());
      return UNKNOWN;
    } finally {
      out().flush();
      err().flush();
    }
  }

  final PrintWriter out() {
    return spec.commandLine().getOut();
  }

  final PrintWriter err() {
    return spec.commandLine().getErr();
  }

  final boolean json() {
    return parent.output == FleetCommand.Output.json;
  }

  final void print(Object value) {
    out().println(Json.text(value));
  }

  final CommandLine.ParameterException usage(String message) {
    return new CommandLine.ParameterException(spec.commandLine(), message);
  }

  /**
   * The chosen instances. Where agents gave no answer, one that is not found is no mistake of the
   * caller's: nobody knows.
   */
  static List<Target> chosen(Selection selection, Fleet.Answers<List<Api.InstanceView>> answers)
      throws Selection.SelectionException, AwayException {
    try {
      return selection.of(Fleet.flat(answers));
    } catch (Selection.SelectionException e) {
      if (answers.failures().isEmpty()) {
        throw e;
      }
      throw new AwayException(e.getMessage(), answers.unreachable());
    }
  }

  static String time(long millis) {
    return millis == 0 ? "-" : TIME.format(Instant.ofEpochMilli(millis));
  }

  /** Says which agents gave no answer; the exit code for that. */
  final int tell(Map<String, AgentCallException> failures) {
    failures.values().forEach(failure -> err().println(failure.getMessage()));
    return failures.isEmpty() ? 0 : UNKNOWN;
  }
}
