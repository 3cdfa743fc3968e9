package beamspread.cli;

import beamspread.chaos.Fault;
import beamspread.chaos.History;
import beamspread.chaos.Run;
import beamspread.chaos.RunPage;
import beamspread.chaos.RunReport;
import beamspread.chaos.Schedule;
import beamspread.chaos.ScheduleFile;
import beamspread.chaos.Shrink;
import beamspread.fleet.api.Json;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays a scene under faults. */
@Command(
    name = "run",
    description =
        "Starts the processes of a scene on this machine, throws the faults of a file between"
            + " them, and judges what they said against what was so. A seed is played again with"
            + " the same faults at the same times.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Examples:",
      "  ./beamspread chaos run deploy/chaos-store.toml",
      "  ./beamspread chaos run deploy/chaos-rollout.toml --seed 7 --html run.html",
      "  ./beamspread chaos run deploy/chaos-nodes.toml --runs 10 -o json",
      "  ./beamspread chaos run deploy/chaos-lease-short.toml --runs 200 --parallel 4",
      "  ./beamspread chaos run deploy/chaos-store.toml --seed 12 --shrink 20",
      "",
      "Exit codes: 0 if all held, 1 if something was broken or could not be played, 2 for a wrong",
      "file or option."
    })
final class ChaosRunCommand implements Callable<Integer> {
  private static final int MOST_RUNS = 1000;
  private static final int MOST_TRIES = 200;
  private static final int MOST_PARALLEL = 64;

  @Parameters(paramLabel = "FILE", description = "what is played")
  private Path file;

  @Option(names = "--seed", description = "another seed than the file's")
  private Long seed;

  @Option(
      names = "--runs",
      defaultValue = "1",
      description = "plays, each with the next seed (default: ${DEFAULT-VALUE})")
  private int runs;

  @Option(
      names = "--parallel",
      paramLabel = "PLAYS",
      defaultValue = "1",
      description = "how many are played at once (default: ${DEFAULT-VALUE})")
  private int parallel;

  @Option(
      names = "--shrink",
      paramLabel = "PLAYS",
      defaultValue = "0",
      description = "after a breach, look for fewer faults that bring it about, in so many plays")
  private int shrink;

  @Option(names = "--html", paramLabel = "FILE", description = "the last play as a page")
  private Path html;

  @Option(
      names = "--history",
      paramLabel = "FILE",
      description = "the last play's whole history, a JSON object a line")
  private Path history;

  @Option(
      names = {"-o", "--output"},
      paramLabel = "FORM",
      defaultValue = "table",
      description = "table or json (default: table)")
  private Output output;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    Bounds.check(spec.commandLine(), "--runs", runs, 1, MOST_RUNS);
    Bounds.check(spec.commandLine(), "--shrink", shrink, 0, MOST_TRIES);
    Bounds.check(spec.commandLine(), "--parallel", parallel, 1, MOST_PARALLEL);
    ScheduleFile read = ScheduleFile.read(file);
    long first = seed == null ? read.named().seed() : seed;
    List<Map<String, Object>> trees = new ArrayList<>();
    PlayTotals totals = new PlayTotals();
    ExecutorService players = Executors.newFixedThreadPool(parallel);
    try {
      ArrayDeque<Future<Run.Outcome>> underWay = new ArrayDeque<>();
      for (int i = 0; i < runs; i++) {
        // No more are begun than are played at once: each outcome holds its whole history.
        while (underWay.size() < Math.min(parallel, runs - i)) {
          Schedule schedule = read.schedule(first + i + underWay.size());
          underWay.add(players.submit(() -> play(read, schedule)));
        }
        Run.Outcome outcome;
        try {
          outcome = outcome(underWay.remove());
        } catch (IOException e) {
          if (runs == 1) {
            throw e;
          }
          // A scene that does not come up says nothing of the others.
          spec.commandLine()
              .getErr()
              .println("seed " + (first + i) + " could not be played: " + e.getMessage());
          totals.notPlayed();
          continue;
        }
        totals.add(outcome);
        write(read, outcome);
        if (output == Output.json) {
          trees.add(RunReport.tree(read.sceneName(), outcome));
        } else {
          RunReport.lines(read.sceneName(), outcome).forEach(this::say);
        }
        if (!outcome.good() && shrink > 0) {
          trees.add(shrunk(read, outcome));
          break;
        }
      }
    } finally {
      players.shutdownNow();
    }
    if (output == Output.json) {
      say(Json.text(Map.of("good", totals.good(), "runs", trees, "broken", totals.broken())));
    } else if (runs > 1) {
      say(totals.text());
    }
    return totals.good() ? 0 : 1;
  }

  /** What came of a play; what kept it from being played is thrown as it was there. */
  private static Run.Outcome outcome(Future<Run.Outcome> play) throws Exception {
    try {
      return play.get();
    } catch (ExecutionException e) {
      throw e.getCause() instanceof Exception cause ? cause : e;
    }
  }

  private void say(String line) {
    spec.commandLine().getOut().println(line);
    spec.commandLine().getOut().flush();
  }

  private static Run.Outcome play(ScheduleFile read, Schedule schedule) throws Exception {
    try (Scratch scratch = new Scratch()) {
      return new Run(schedule, read.scene().get(), scratch.folder()).play();
    }
  }

  private void write(ScheduleFile read, Run.Outcome outcome) throws IOException {
    if (html != null) {
      Files.writeString(html, RunPage.html(read.sceneName(), outcome));
    }
    if (history != null) {
      try (BufferedWriter lines = Files.newBufferedWriter(history)) {
        for (History.Event event : outcome.events()) {
          lines.write(Json.text(RunReport.tree(event)));
          lines.newLine();
        }
      }
    }
  }

  private Map<String, Object> shrunk(ScheduleFile read, Run.Outcome broken) {
    String invariant = broken.breaches().isEmpty() ? "" : broken.breaches().get(0).invariant();
    Schedule whole = broken.schedule();
    Shrink search = new Shrink(faults -> breaksAgain(read, whole, faults, invariant), shrink);
    List<Fault> fewest = search.of(whole.faults());
    if (output != Output.json) {
      say("");
      say("fewest faults found that bring '" + invariant + "' about:");
      fewest.forEach(fault -> say("%9.3f s  %s".formatted(fault.atNanos() / 1e9, fault.says())));
    }
    Map<String, Object> tree = new LinkedHashMap<>();
    tree.put("shrunk", invariant);
    tree.put("faults", fewest.stream().map(Fault::says).toList());
    return tree;
  }

  private static boolean breaksAgain(
      ScheduleFile read, Schedule whole, List<Fault> faults, String invariant) {
    try {
      Schedule fewer = new Schedule(whole.seed(), whole.seconds(), whole.settleSeconds(), faults);
      return play(read, fewer).breaches().stream()
          .anyMatch(breach -> breach.invariant().equals(invariant));
    } catch (Exception e) {
      // What can't be played breaks nothing.
      return false;
    }
  }
}
