package beamspread.cli;

import beamspread.fleet.api.Json;
import beamspread.report.Tallies;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Adds up what the nodes of a tier have done. */
@Command(
    name = "tally",
    description =
        "Adds up what nodes started with 'serve --tally' have logged: requests and how they ended,"
            + " attempts, hits and misses, connections, by second, node or server.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Examples:",
      "  ./beamspread tally logs/                  a line a second over all nodes",
      "  ./beamspread tally logs/ --by node        which node stands out",
      "  ./beamspread tally logs/ --by server      which servers had no connection to give",
      "  ./beamspread tally logs/n3.log -o json",
      "",
      "Exit codes: 0 if there is something to add up, 1 if not, 2 for a wrong option."
    })
final class TallyCommand implements Callable<Integer> {
  /** What a row stands for. */
  enum By {
    SECOND,
    NODE,
    SERVER
  }

  @Parameters(
      arity = "1..*",
      paramLabel = "LOGS",
      description = "logs of nodes, or folders of them")
  private List<Path> logs;

  @Option(names = "--by", defaultValue = "second", description = "second, node or server")
  private By by;

  @Option(
      names = {"-o", "--output"},
      defaultValue = "table",
      description = "${COMPLETION-CANDIDATES} (default: table)")
  private LabOptions.Output output;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    for (Path path : logs) {
      if (!Files.isReadable(path)) {
        throw new CommandLine.ParameterException(
            spec.commandLine(), path + ": no such file or folder, or not to be read");
      }
    }
    Tallies tallies = Tallies.read(logs);
    PrintWriter out = spec.commandLine().getOut();
    if (tallies.unreadable() > 0) {
      spec.commandLine().getErr().println(tallies.unreadable() + " lines are cut or unreadable");
    }
    if (tallies.lines() == 0) {
      spec.commandLine().getErr().println("no tallies here: start nodes with 'serve --tally'");
      return 1;
    }
    Map<String, Map<String, Long>> rows = rows(tallies);
    if (output == LabOptions.Output.json) {
      out.println(Json.text(rows));
    } else if (by == By.SERVER) {
      Table table = new Table("SERVER", "NO CONNECTION");
      rows.forEach((name, figures) -> table.row(name, figures.get("end_connect_failed")));
      table.print(out);
    } else {
      print(rows, tallies.whole(), out);
    }
    return 0;
  }

  private Map<String, Map<String, Long>> rows(Tallies tallies) {
    if (by == By.NODE) {
      return tallies.byNode();
    }
    Map<String, Map<String, Long>> rows = new LinkedHashMap<>();
    if (by == By.SERVER) {
      tallies
          .byServer()
          .forEach(one -> rows.put(one.getKey(), Map.of("end_connect_failed", one.getValue())));
    } else {
      long first = tallies.bySecond().keySet().iterator().next();
      tallies
          .bySecond()
          .forEach((second, figures) -> rows.put(Long.toString(second - first), figures));
    }
    return rows;
  }

  private void print(
      Map<String, Map<String, Long>> rows, Map<String, Long> whole, PrintWriter out) {
    Table table =
        new Table(
            by.name(), "NODES", "READS", "SERVED", "LATE", "WRITES", "SERVED", "LATE", "REFUSED",
            "UNSENT", "FAILED", "TRIES", "HELD", "HELD_MS", "HITS", "MS", "MISSES", "MS", "W_MS",
            "NOCONN", "RESET", "TIMEOUT", "FULL", "ERROR", "OPEN", "LINKS", "OPENED", "DOWN");
    rows.forEach((name, figures) -> row(table, name, figures));
    row(table, "ALL", whole);
    table.print(out);
  }

  private static void row(Table table, String name, Map<String, Long> f) {
    table.row(
        name,
        f.get("lines"),
        f.get("reads"),
        f.get("reads_served"),
        f.get("reads_late"),
        f.get("writes"),
        f.get("writes_served"),
        f.get("writes_late"),
        f.get("refused"),
        f.get("unsent"),
        f.get("failed"),
        f.get("tries"),
        f.get("held"),
        mean(f, "held_ms", "held"),
        f.get("hits"),
        mean(f, "hit_ms", "hits"),
        f.get("misses"),
        mean(f, "miss_ms", "misses"),
        mean(f, "write_ms", "writes_served"),
        f.get("end_connect_failed"),
        f.get("end_reset"),
        f.get("end_timeout"),
        f.get("end_full"),
        f.get("end_error"),
        f.get("open"),
        f.get("links"),
        f.get("opened"),
        f.get("turned_down"));
  }

  private static Object mean(Map<String, Long> figures, String sum, String count) {
    long many = figures.getOrDefault(count, 0L);
    return many == 0 ? "-" : figures.getOrDefault(sum, 0L) / many;
  }
}
