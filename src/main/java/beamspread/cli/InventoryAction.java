package beamspread.cli;

import beamspread.fleet.api.Json;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;

/** A subcommand of an {@link InventoryCommand}. */
abstract class InventoryAction implements Callable<Integer> {
  /** The exit code where nobody knows. */
  static final int UNKNOWN = 3;

  @CommandLine.ParentCommand private InventoryCommand parent;
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  final Path inventory() {
    return parent.inventory;
  }

  final CommandLine commandLine() {
    return spec.commandLine();
  }

  final PrintWriter out() {
    return spec.commandLine().getOut();
  }

  final PrintWriter err() {
    return spec.commandLine().getErr();
  }

  final boolean json() {
    return parent.output == Output.json;
  }

  /** Writes a value as JSON. */
  final void print(Object value) {
    out().println(Json.text(value));
  }

  /** Wrong usage, said in words. */
  final CommandLine.ParameterException usage(String message) {
    return new CommandLine.ParameterException(spec.commandLine(), message);
  }
}
