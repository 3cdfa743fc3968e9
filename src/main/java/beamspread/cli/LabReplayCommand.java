package beamspread.cli;

import beamspread.fleet.api.Json;
import beamspread.lab.Experiment;
import beamspread.lab.Findings;
import beamspread.lab.Lab;
import beamspread.lab.Result;
import beamspread.lab.Runs;
import beamspread.replay.Prediction;
import beamspread.replay.Replay;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Sets the model against real nodes. */
@Command(
    name = "replay",
    description =
        "Plays each variant of an experiment in the model and again on loopback: real nodes before"
            + " stand-in boxes of known speed, asked for the same at the same moments. Puts the"
            + " prediction beside what was measured.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "A run takes its seconds of real time. One core is kept busy all along, each node takes a part",
      "of another.",
      "",
      "Examples:",
      "  ./beamspread lab replay deploy/lab-replay.toml",
      "  ./beamspread lab replay deploy/lab-replay.toml --only calm --seeds 1 -o json",
      "",
      "Exit codes: 0 if all agree within the bound, 1 if not or a run broke a rule, 2 for a wrong",
      "file or option."
    })
final class LabReplayCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "the experiment, in TOML")
  private Path file;

  @Option(names = "--jar", defaultValue = "target/beamspread.jar", description = "the nodes' jar")
  private Path jar;

  @Option(names = "--only", paramLabel = "VARIANT", description = "this one alone; may be repeated")
  private List<String> only = new ArrayList<>();

  @Option(names = "--seeds", defaultValue = "3", description = "runs of each (default: 3)")
  private int seeds;

  @Option(names = "--first-seed", defaultValue = "1001", description = "(default: 1001)")
  private long firstSeed;

  @Option(
      names = "--warm",
      defaultValue = "8",
      description = "seconds of each run that don't count (default: 8)")
  private double warm;

  @Option(
      names = "--seconds",
      defaultValue = "20",
      description = "seconds of each run that count (default: 20)")
  private double seconds;

  @Option(
      names = "--bound",
      defaultValue = "0.1",
      description = "how far apart the two may be (default: 0.1)")
  private double bound;

  @Option(
      names = {"-o", "--output"},
      defaultValue = "table",
      description = "${COMPLETION-CANDIDATES} (default: table)")
  private LabOptions.Output output;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    Bounds.check(spec.commandLine(), "--seeds", seeds, 1, 100);
    Bounds.check(spec.commandLine(), "--warm", warm, 0, 600);
    Bounds.check(spec.commandLine(), "--seconds", seconds, 1, 3600);
    Bounds.check(spec.commandLine(), "--bound", bound, 0, 1);
    Experiment experiment = Experiment.read(file);
    List<String> names = only.isEmpty() ? List.copyOf(experiment.variants().keySet()) : only;
    for (String name : names) {
      if (!experiment.variants().containsKey(name)) {
        throw new CommandLine.ParameterException(
            spec.commandLine(),
            "there is no variant '"
                + name
                + "' in "
                + file
                + ", but "
                + String.join(", ", experiment.variants().keySet()));
      }
    }
    Findings model =
        new Lab(experiment.only(names), seeds, firstSeed, warm, seconds, Runs.NONE)
            .run(2, (done, all) -> {});
    PrintWriter err = spec.commandLine().getErr();
    Map<String, List<Prediction>> found = new LinkedHashMap<>();
    long broken = 0;
    for (String name : names) {
      List<Result> measured = new ArrayList<>();
      for (int i = 0; i < seeds; i++) {
        Result result = play(experiment, name, firstSeed + i);
        measured.add(result);
        broken += result.kept() ? 0 : 1;
        if (System.console() != null) {
          err.println(name + ", seed " + (firstSeed + i) + ": " + result.figures());
        }
      }
      found.put(name, Prediction.of(model.results().get(name), measured, bound));
    }
    boolean holds = found.values().stream().flatMap(List::stream).allMatch(Prediction::holds);
    PrintWriter out = spec.commandLine().getOut();
    if (output == LabOptions.Output.json) {
      Map<String, Object> all = new LinkedHashMap<>();
      all.put("seeds", seeds);
      all.put("bound", bound);
      all.put("predictions", found);
      all.put("runs_that_broke_a_rule", broken);
      all.put("holds", holds);
      out.println(Json.text(all));
    } else {
      table(out, found, broken);
    }
    out.flush();
    return holds && broken == 0 ? 0 : 1;
  }

  private Result play(Experiment experiment, String name, long seed)
      throws IOException, InterruptedException {
    try (Scratch scratch = new Scratch();
        Replay replay =
            new Replay(
                experiment.fleet(name),
                seed,
                (number, config, pool) -> NodeProcess.start(scratch, jar, number, config, pool))) {
      return replay.run(warm, seconds);
    }
  }

  private void table(PrintWriter out, Map<String, List<Prediction>> found, long broken) {
    Table table = new Table("VARIANT", "FIGURE", "PREDICTED", "MEASURED", "RUNS", "APART", "SAYS");
    found.forEach(
        (name, lines) -> {
          for (Prediction line : lines) {
            table.row(
                name,
                line.figure(),
                LabPrinter.number(line.predicted()),
                LabPrinter.number(line.measured()),
                LabPrinter.number(line.lowest()) + " to " + LabPrinter.number(line.highest()),
                Table.decimal(100 * line.apart(), 1) + " %",
                line.holds() ? "agrees" : "apart");
          }
        });
    table.print(out);
    out.println(seeds + " seeds; " + broken + " of the runs on loopback broke a rule");
  }
}
