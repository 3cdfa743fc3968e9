package beamspread.cli;

import beamspread.lab.Experiment;
import beamspread.lab.Findings;
import beamspread.lab.Lab;
import beamspread.lab.Runs;
import beamspread.runs.SqliteRuns;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.DigestInputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.function.BiConsumer;
import picocli.CommandLine;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** What every command takes that plays in the model. */
final class LabOptions {
  /** How findings are written. */
  enum Output {
    table,
    json
  }

  @Parameters(paramLabel = "FILE", description = "the experiment, in TOML")
  Path file;

  @Option(names = "--seeds", defaultValue = "10", description = "runs of each (default: 10)")
  private int seeds;

  @Option(names = "--first-seed", defaultValue = "1001", description = "(default: 1001)")
  private long firstSeed;

  @Option(
      names = "--warm",
      defaultValue = "10",
      description = "seconds of each run that don't count (default: 10)")
  private double warm;

  @Option(
      names = "--seconds",
      defaultValue = "30",
      description = "seconds of each run that count (default: 30)")
  private double seconds;

  @Option(names = "--cores", description = "runs at a time (default: half of the machine's cores)")
  private int cores = Math.max(1, Runtime.getRuntime().availableProcessors() / 2);

  @Option(
      names = "--store",
      paramLabel = "FILE",
      description =
          "an SQLite file in which finished runs are kept: the same command goes on where it was"
              + " ended, and plays no run twice")
  private Path store;

  @Option(
      names = {"-o", "--output"},
      defaultValue = "table",
      description = "${COMPLETION-CANDIDATES} (default: table)")
  private Output output;

  void check(CommandLine.Model.CommandSpec spec) {
    Bounds.check(spec.commandLine(), "--seeds", seeds, 1, 10_000);
    Bounds.check(spec.commandLine(), "--cores", cores, 1, 1024);
    Bounds.check(spec.commandLine(), "--warm", warm, 0, 100_000);
    Bounds.check(spec.commandLine(), "--seconds", seconds, 0.1, 100_000);
  }

  Findings play(Experiment experiment, CommandLine.Model.CommandSpec spec)
      throws InterruptedException, IOException {
    if (store == null) {
      return play(experiment, spec, Runs.NONE);
    }
    try (SqliteRuns runs = new SqliteRuns(store, program())) {
      Findings findings = play(experiment, spec, runs);
      if (runs.found() > 0) {
        spec.commandLine().getErr().println(runs.found() + " runs were in " + store + " already");
      }
      return findings;
    }
  }

  private Findings play(Experiment experiment, CommandLine.Model.CommandSpec spec, Runs runs)
      throws InterruptedException {
    PrintWriter err = spec.commandLine().getErr();
    BiConsumer<Integer, Integer> progress =
        (done, all) -> {
          err.print("\r" + done + " of " + all + " runs" + (done < all ? "" : "\n"));
          err.flush();
        };
    return new Lab(experiment, seeds, firstSeed, warm, seconds, runs)
        .run(cores, System.console() == null ? (done, all) -> {} : progress);
  }

  /** Writes the findings; the exit code for them. */
  int print(Experiment experiment, Findings findings, CommandLine.Model.CommandSpec spec) {
    PrintWriter out = spec.commandLine().getOut();
    if (output == Output.json) {
      LabPrinter.json(out, experiment, findings);
    } else {
      LabPrinter.table(out, experiment, findings);
    }
    out.flush();
    return findings.violations().isEmpty() ? 0 : 1;
  }

  /** Tells builds of this program apart: the jar's digest, or that it runs from classes. */
  private static String program() throws IOException {
    try {
      Path code =
          Path.of(LabOptions.class.getProtectionDomain().getCodeSource().getLocation().toURI());
      if (Files.isDirectory(code)) {
        return "classes";
      }
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      try (InputStream in = new DigestInputStream(Files.newInputStream(code), digest)) {
        in.transferTo(java.io.OutputStream.nullOutputStream());
      }
      return HexFormat.of().formatHex(digest.digest());
    } catch (URISyntaxException | NoSuchAlgorithmException e) {
      throw new IOException(e);
    }
  }
}
