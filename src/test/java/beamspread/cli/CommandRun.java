package beamspread.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine;

/** A command that was run within the test, as a script sees it. */
record CommandRun(int code, String out, String err) {
  static CommandRun of(String... words) {
    CommandLine line = Main.line();
    StringWriter printed = new StringWriter();
    StringWriter told = new StringWriter();
    line.setOut(new PrintWriter(printed)).setErr(new PrintWriter(told));
    int code = line.execute(words);
    return new CommandRun(code, printed.toString(), told.toString());
  }

  /** A command whose first word takes an inventory. */
  static CommandRun with(Path inventory, String... words) {
    List<String> all = new ArrayList<>(List.of(words));
    all.addAll(1, List.of("-i", inventory.toString()));
    return of(all.toArray(new String[0]));
  }
}
