package beamspread.cli;

import beamspread.fleet.Report;
import beamspread.fleet.Result;
import beamspread.fleet.api.Outcome;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Prints what came of an operation. */
final class ReportPrinter {
  private ReportPrinter() {}

  /** A line for each result on a terminal, nothing elsewhere. */
  static Consumer<Result> progress(PrintWriter err, int targets) {
    if (System.console() == null) {
      return result -> {};
    }
    return new Consumer<>() {
      private int count;

      @Override
      public synchronized void accept(Result result) {
        count++;
        err.println(
            "["
                + count
                + "/"
                + targets
                + "] "
                + result.agent()
                + "/"
                + result.instance()
                + " "
                + result.outcome().word()
                + (result.reason() == null ? "" : ": " + result.reason()));
        err.flush();
      }
    };
  }

  static void table(Report report, PrintWriter out) {
    Table table = new Table("AGENT", "INSTANCE", "ZONE", "OUTCOME", "TOOK", "REASON");
    for (Result result : report.results()) {
      table.row(
          result.agent(),
          result.instance(),
          result.zone(),
          result.outcome().word(),
          result.tookMs() + " ms",
          result.reason() == null ? "" : result.reason());
    }
    table.print(out);
    List<String> counts = new ArrayList<>();
    for (Outcome outcome : Outcome.values()) {
      if (report.count(outcome) > 0) {
        counts.add(report.count(outcome) + " " + outcome.word());
      }
    }
    out.println();
    out.println(
        report.kind().word()
            + " "
            + report.operation()
            + ": "
            + String.join(", ", counts)
            + " in "
            + report.tookMs()
            + " ms");
    if (report.exitCode() != 0) {
      out.println("what is left: ./beamspread fleet resume " + report.operation());
    }
  }
}
