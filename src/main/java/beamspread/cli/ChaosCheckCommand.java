package beamspread.cli;

import beamspread.chaos.Fault;
import beamspread.chaos.Schedule;
import beamspread.chaos.ScheduleFile;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Checks a schedule and prints what a seed plays. */
@Command(
    name = "check",
    description = "Checks a schedule, names every fault, and prints what a seed plays.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Example: ./beamspread chaos check deploy/chaos-store.toml --seed 7",
      "",
      "Exit codes: 0 for a good file, 2 for a wrong file or option."
    })
final class ChaosCheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "what is played")
  private Path file;

  @Option(names = "--seed", description = "another seed than the file's")
  private Long seed;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    ScheduleFile read = ScheduleFile.read(file);
    Schedule schedule = read.schedule(seed == null ? read.named().seed() : seed);
    var out = spec.commandLine().getOut();
    out.printf(
        "%s: good; scene %s, seed %d, %d faults in %.1f s%n",
        file,
        read.sceneName(),
        schedule.seed(),
        schedule.faults().size(),
        schedule.healedAtNanos() / 1e9);
    for (Fault fault : schedule.faults()) {
      out.printf("%9.3f s  %s%n", fault.atNanos() / 1e9, fault.says());
    }
    return 0;
  }
}
