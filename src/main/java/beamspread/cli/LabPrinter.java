package beamspread.cli;

import beamspread.fleet.api.Json;
import beamspread.lab.Experiment;
import beamspread.lab.Findings;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Findings for people and for scripts. */
final class LabPrinter {
  private LabPrinter() {}

  static String number(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e9
        ? Long.toString((long) value)
        : String.format(Locale.ROOT, Math.abs(value) < 10 ? "%.4f" : "%.1f", value);
  }

  static void table(PrintWriter out, Experiment experiment, Findings findings) {
    List<String> names = new ArrayList<>(experiment.variants().keySet());
    List<String> head = new ArrayList<>(List.of("MEAN OF " + findings.seeds() + " RUNS"));
    head.addAll(names);
    Table means = new Table(head.toArray(String[]::new));
    List<Map<String, Double>> columns = names.stream().map(findings::means).toList();
    for (String figure : columns.get(0).keySet()) {
      List<Object> row = new ArrayList<>(List.of(figure));
      columns.forEach(column -> row.add(number(column.get(figure))));
      means.row(row.toArray());
    }
    means.print(out);
    if (names.size() > 1 && findings.seeds() > 1) {
      out.println();
      Table differences = new Table("VARIANT", "FIGURE", "DIFFERENCE", "95 %", "SAYS");
      for (Findings.Line line : findings.compared()) {
        differences.row(
            line.variant(),
            line.figure(),
            number(line.difference()),
            "+- " + number(line.margin()),
            line.shown()
                ? "differs"
                : "no difference shown"
                    + (line.needed() > 0 ? "; " + line.needed() + " seeds might" : ""));
      }
      differences.print(out);
    }
    findings.violations().forEach(one -> out.println("rule broken: " + one));
  }

  static void json(PrintWriter out, Experiment experiment, Findings findings) {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("seeds", findings.seeds());
    all.put("first_seed", findings.firstSeed());
    Map<String, Object> means = new LinkedHashMap<>();
    experiment.variants().keySet().forEach(name -> means.put(name, findings.means(name)));
    all.put("means", means);
    all.put("compared", findings.compared());
    all.put("violations", findings.violations());
    all.put("events", findings.steps());
    out.println(Json.text(all));
  }
}
