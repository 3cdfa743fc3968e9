package beamspread.cli;

import beamspread.fleet.AgentCallException;
import beamspread.fleet.Fleet;
import beamspread.fleet.Inventory;
import beamspread.fleet.Selection;
import beamspread.fleet.Target;
import beamspread.fleet.api.Api;
import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Map;

/** A subcommand that talks to the agents of the inventory. */
abstract class FleetAction extends InventoryAction {
  private static final DateTimeFormatter TIME =
      DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss").withZone(ZoneId.systemDefault());

  /** Does it; returns the exit code. */
  abstract int run(Fleet fleet) throws Exception;

  @Override
  public final Integer call() throws Exception {
    try (Fleet fleet = new Fleet(Inventory.read(inventory()))) {
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
