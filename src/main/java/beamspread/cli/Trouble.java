package beamspread.cli;

import beamspread.fleet.Selection;
import beamspread.fleet.config.TomlFaults;

/** What is said, and which exit code is given, where a command cannot be carried out. */
final class Trouble {
  /** Wrong usage, or a file that is wrong. */
  static final int USAGE = 2;

  private Trouble() {}

  static String text(Exception e) {
    if (e instanceof TomlFaults faults) {
      return "nothing was done, since the file has "
          + (faults.faults().size() == 1 ? "a fault" : faults.faults().size() + " faults")
          + System.lineSeparator()
          + e.getMessage();
    }
    return e.getMessage() == null ? e.toString() : e.getMessage();
  }

  static int code(Exception e) {
    return e instanceof TomlFaults || e instanceof Selection.SelectionException ? USAGE : 1;
  }
}
