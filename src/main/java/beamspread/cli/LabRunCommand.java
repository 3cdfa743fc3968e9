package beamspread.cli;

import beamspread.lab.Experiment;
import beamspread.lab.Findings;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Compares variants of a fleet in the model. */
@Command(
    name = "run",
    description =
        "Plays a fleet and variants of it in a model, on virtual time, over the same seeds, and"
            + " tells what differs by more than chance. The model runs the real decision module and"
            + " the real decisions about connections.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Examples:",
      "  ./beamspread lab run deploy/lab.toml",
      "  ./beamspread lab run deploy/lab.toml --seeds 20 --seconds 60 -o json",
      "  ./beamspread lab run deploy/lab.toml --seeds 200 --store runs.db   goes on if ended",
      "  ./beamspread lab run deploy/lab.toml --seeds 1 --first-seed 1017   one run again",
      "",
      "Exit codes: 0 if all rules were kept, 1 if a run broke one, 2 for a wrong file or option."
    })
final class LabRunCommand implements Callable<Integer> {
  @Mixin private LabOptions options;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    options.check(spec);
    Experiment experiment = Experiment.read(options.file);
    Findings findings = options.play(experiment, spec);
    return options.print(experiment, findings, spec);
  }
}
