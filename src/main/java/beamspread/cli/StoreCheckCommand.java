package beamspread.cli;

import beamspread.store.SheetsException;
import beamspread.store.SheetsFile;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Looks a store's file over. */
@Command(
    name = "check",
    description = "Looks a file of sheets over, page by page, and changes nothing.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Example:",
      "  ./beamspread store check sheets.db",
      "",
      "Exit codes: 0 if it is whole, 1 if it is damaged or can't be read."
    })
final class StoreCheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "the sheets")
  private Path file;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws SheetsException {
    List<String> faults = SheetsFile.faults(file);
    if (faults.isEmpty()) {
      spec.commandLine().getOut().println(file + ": whole, " + SheetsFile.summary(file));
      return 0;
    }
    faults.forEach(fault -> spec.commandLine().getErr().println(file + ": " + fault));
    spec.commandLine().getErr().println("restore a backup in its place, or what it still has");
    return 1;
  }
}
