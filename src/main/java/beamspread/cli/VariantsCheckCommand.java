package beamspread.cli;

import beamspread.variants.VariantFile;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks a file. */
@Command(name = "check", description = "Checks a file of rules.", mixinStandardHelpOptions = true)
final class VariantsCheckCommand extends VariantsAction {
  @Parameters(paramLabel = "FILE", description = "rules, and the classes that are the same")
  private Path file;

  @Override
  public Integer call() {
    VariantFile read = open(file).file();
    out()
        .println(
            file
                + ": "
                + read.rules().all().size()
                + " rules, "
                + read.rows().size()
                + " families with classes that are the same");
    out().flush();
    return 0;
  }
}
