package beamspread.cli;

import beamspread.lab.Experiment;
import beamspread.lab.Findings;
import beamspread.report.LabReport;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Writes what an experiment has shown as one file for a browser. */
@Command(
    name = "report",
    description =
        "Plays an experiment, or finds its runs in a store, and writes one HTML file that needs"
            + " nothing else: the tables, differences with their intervals, time series, curves of"
            + " percentiles, and how full the boxes were when.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Example: ./beamspread lab report deploy/lab.toml --store runs.db --to report.html",
      "",
      "Exit codes: 0 if all rules were kept, 1 if a run broke one, 2 for a wrong file or option."
    })
final class LabReportCommand implements Callable<Integer> {
  @Mixin private LabOptions options;

  @Option(names = "--to", required = true, paramLabel = "HTML", description = "the file to write")
  private Path to;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    options.check(spec);
    Path folder = to.toAbsolutePath().getParent();
    if (!Files.isDirectory(folder)) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "--to " + to + ": there is no folder " + folder);
    }
    Experiment experiment = Experiment.read(options.file);
    Findings findings = options.play(experiment, spec);
    String html = LabReport.html(options.file.getFileName().toString(), experiment, findings);
    // Whole or not at all: who looks at it meanwhile sees the one before.
    Path whole = folder.resolve(to.getFileName() + ".part");
    try {
      Files.writeString(whole, html);
      Files.move(whole, to, StandardCopyOption.REPLACE_EXISTING);
    } finally {
      Files.deleteIfExists(whole);
    }
    spec.commandLine().getErr().println("written to " + to);
    return options.print(experiment, findings, spec);
  }
}
