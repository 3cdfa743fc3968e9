package beamspread.cli;

import beamspread.store.SheetsException;
import beamspread.store.SheetsFile;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Copies a store's file while it is in use. */
@Command(
    name = "backup",
    description =
        "Copies the sheets as they are at one moment into a new file, while a store may use them,"
            + " and checks the copy.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Example:",
      "  ./beamspread store backup sheets.db monday.db",
      "",
      "Exit codes: 0 if the copy is whole, 1 if there is none."
    })
final class StoreBackupCommand implements Callable<Integer> {
  @Parameters(index = "0", paramLabel = "FILE", description = "the sheets")
  private Path file;

  @Parameters(index = "1", paramLabel = "COPY", description = "the new file")
  private Path copy;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws SheetsException {
    SheetsFile.backup(file, copy);
    spec.commandLine().getOut().println(copy + ": whole, " + SheetsFile.summary(copy));
    return 0;
  }
}
