package beamspread.cli;

import beamspread.lab.Experiment;
import beamspread.lab.Findings;
import beamspread.lab.Lab;
import beamspread.lab.Runs;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** How fast the model is, and what it takes. */
@Command(
    name = "lab",
    description =
        "Plays fleets of 2, 20, 100 and 1,000 boxes, with a node for ten of them and 100 requests a"
            + " second for each: events a second and memory; then the same fleet on one to four"
            + " cores.",
    mixinStandardHelpOptions = true,
    footer = {"", "Example: BEAMSPREAD_HEAP=2g ./beamspread measure lab --seconds 1"})
final class MeasureLab implements Callable<Integer> {
  private static final int[] BOXES = {2, 20, 100, 1000};
  private static final int[] CORES = {1, 2, 4};
  private static final int EACH = 100;

  @Option(
      names = "--seconds",
      defaultValue = "4",
      description = "of virtual time of a run (default: 4)")
  private double seconds;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** One measurement. */
  private record Pace(long events, double seconds, long peakMb) {}

  @Override
  public Integer call() throws Exception {
    Bounds.check(spec.commandLine(), "--seconds", seconds, 0.5, 600);
    PrintWriter out = spec.commandLine().getOut();
    play(20, 2, 1);
    Table sizes =
        new Table("BOXES", "NODES", "REQUESTS/S", "EVENTS", "SECONDS", "EVENTS/S", "PEAK HEAP MB");
    for (int boxes : BOXES) {
      Pace pace = play(boxes, 1, 1);
      sizes.row(
          boxes,
          nodes(boxes),
          boxes * EACH,
          pace.events(),
          Table.decimal(pace.seconds(), 2),
          Math.round(pace.events() / pace.seconds()),
          pace.peakMb());
    }
    sizes.print(out);
    out.println();
    Table cores = new Table("CORES", "RUNS", "SECONDS", "SPEED-UP");
    double one = 0;
    for (int count : CORES) {
      Pace pace = play(100, 8, count);
      one = count == 1 ? pace.seconds() : one;
      cores.row(count, 8, Table.decimal(pace.seconds(), 2), Table.decimal(one / pace.seconds(), 2));
    }
    cores.print(out);
    out.println(seconds + " s of virtual time a run");
    out.flush();
    return 0;
  }

  private static int nodes(int boxes) {
    return Math.max(2, boxes / 10);
  }

  private Pace play(int boxes, int seeds, int cores) throws Exception {
    Path file = Files.createTempFile("beamspread", ".toml");
    try {
      Files.writeString(
          file,
          """
          [fleet]
          nodes = %d
          [[box]]
          kind = "box"
          count = %d
          connections = 10000
          [origin]
          cores = %d
          [load]
          rate = %d
          keys = 100000
          [pool]
          connections = 2
          """
              .formatted(nodes(boxes), boxes, 8 * boxes, boxes * EACH));
      Lab lab = new Lab(Experiment.read(file), seeds, 1, 0, seconds, Runs.NONE);
      System.gc();
      ManagementFactory.getMemoryPoolMXBeans().forEach(MemoryPoolMXBean::resetPeakUsage);
      long began = System.nanoTime();
      Findings findings = lab.run(cores, (done, all) -> {});
      double took = (System.nanoTime() - began) / 1e9;
      long peak =
          ManagementFactory.getMemoryPoolMXBeans().stream()
              .filter(pool -> pool.getType() == MemoryType.HEAP)
              .mapToLong(pool -> pool.getPeakUsage().getUsed())
              .sum();
      return new Pace(findings.steps(), took, peak >> 20);
    } finally {
      Files.deleteIfExists(file);
    }
  }
}
