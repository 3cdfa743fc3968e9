package beamspread.cli;

import beamspread.fleet.api.Json;
import beamspread.scale.ScaleFile;
import beamspread.scale.ScaleRun;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays fleets of several sizes on this machine. */
@Command(
    name = "run",
    description =
        "Plays fleets of several sizes, one after the other: nodes and agents that share a process"
            + " and have nothing behind them, on real sockets, beside a real one of each; and"
            + " membership on virtual time. Tells for each size what each costs, and how long a"
            + " change takes until all have it.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Examples:",
      "  ./beamspread scale run deploy/scale.toml",
      "  ./beamspread scale run deploy/scale.toml --seed 7 -o json > scale.json",
      "",
      "Exit codes: 0 if all aims of the file are met, 1 if one is not or it could not be played, 2",
      "for a wrong file or option, or a machine that it does not fit."
    })
final class ScaleRunCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "what is played")
  private Path file;

  @Option(names = "--seed", defaultValue = "1", description = "of membership (default: 1)")
  private long seed;

  @Option(
      names = {"-o", "--output"},
      paramLabel = "FORM",
      defaultValue = "table",
      description = "table or json (default: table)")
  private Output output;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    ScaleFile plan = ScaleFile.read(file);
    PrintWriter out = spec.commandLine().getOut();
    PrintWriter err = spec.commandLine().getErr();
    ScaleRun.Needs needs = ScaleRun.needs(plan);
    err.printf(
        "sizes %s, one after the other: up to %d MB of memory, %d descriptors in a process%n",
        plan.sizes(), needs.memoryMb(), needs.descriptors());
    err.flush();
    long[] machine = ScaleRun.machine();
    String lack = needs.lack(machine[0], machine[1]);
    if (lack != null) {
      err.println("scale run: " + lack);
      return 2;
    }
    try (Scratch scratch = new Scratch()) {
      ScaleRun run =
          new ScaleRun(
              plan,
              seed,
              scratch.folder(),
              line -> {
                err.println(line);
                err.flush();
              });
      run.play();
      List<String> missed = run.missed();
      if (output == Output.json) {
        out.println(Json.text(run.tree()));
      } else {
        table(plan, run).print(out);
        missed.forEach(one -> out.println("not met: " + one));
      }
      out.flush();
      return missed.isEmpty() ? 0 : 1;
    }
  }

  private static Table table(ScaleFile plan, ScaleRun run) {
    List<String> head = new ArrayList<>(List.of("FIGURE"));
    plan.sizes().forEach(size -> head.add(Integer.toString(size)));
    Table table = new Table(head.toArray(String[]::new));
    run.rows().forEach(row -> table.row(row.toArray()));
    return table;
  }
}
