package beamspread.report;

import beamspread.lab.Course;
import beamspread.lab.Experiment;
import beamspread.lab.Findings;
import beamspread.lab.Result;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The report as a text of HTML. */
public final class LabReport {
  /** The figures whose differences are drawn. */
  private static final List<String> DRAWN = List.of("worth", "late", "p99_ms", "fetches");

  /** Heat maps are large: of more variants than this, those beyond have none. */
  private static final int MOST_HEAT_MAPS = 8;

  private LabReport() {}

  /**
   * The whole file.
   *
   * @param name of the experiment
   */
  public static String html(String name, Experiment experiment, Findings findings) {
    StringBuilder html = new StringBuilder();
    html.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>");
    html.append(escape(name));
    html.append("</title>\n<style>body{font-family:sans-serif;max-width:960px;margin:2em auto}")
        .append("table{border-collapse:collapse}td,th{padding:2px 10px;text-align:right;")
        .append("border-bottom:1px solid #ccc}td:first-child,th:first-child{text-align:left}")
        .append("</style></head><body>\n<h1>")
        .append(escape(name))
        .append("</h1>\n<p>")
        .append(findings.seeds())
        .append(" runs of each variant, seeds from ")
        .append(findings.firstSeed())
        .append(". The figures are the model's.</p>\n");
    means(html, experiment, findings);
    violations(html, findings);
    compared(html, findings);
    Map<String, List<Result>> results = findings.results();
    html.append("<h2>Over time</h2>\n");
    html.append(Plots.course("Served within the aim", results, Course.Slice::onTime));
    html.append(Plots.course("Refused or failed", results, one -> one.refused() + one.failed()));
    html.append("<h2>Percentiles</h2>\n").append(Plots.percentiles(results));
    html.append("<h2>Boxes</h2>\n");
    results.entrySet().stream()
        .limit(MOST_HEAT_MAPS)
        .forEach(one -> html.append(Plots.heat(one.getKey(), one.getValue().get(0))));
    return html.append("</body></html>\n").toString();
  }

  private static void means(StringBuilder html, Experiment experiment, Findings findings) {
    List<String> names = List.copyOf(experiment.variants().keySet());
    html.append("<h2>Means</h2>\n<table><tr><th>figure</th>");
    names.forEach(one -> html.append("<th>").append(escape(one)).append("</th>"));
    html.append("</tr>\n");
    List<Map<String, Double>> columns = names.stream().map(findings::means).toList();
    for (String figure : columns.get(0).keySet()) {
      html.append("<tr><td>").append(figure).append("</td>");
      columns.forEach(one -> html.append(cell(number(one.get(figure)))));
      html.append("</tr>\n");
    }
    html.append("</table>\n");
  }

  private static void violations(StringBuilder html, Findings findings) {
    html.append("<h2>Rules</h2>\n");
    List<String> found = findings.violations();
    html.append(found.isEmpty() ? "<p>All were kept.</p>\n" : "<ul>\n");
    found.forEach(one -> html.append("<li>").append(escape(one)).append("</li>\n"));
    html.append(found.isEmpty() ? "" : "</ul>\n");
  }

  private static void compared(StringBuilder html, Findings findings) {
    List<Findings.Line> lines = findings.compared();
    if (lines.isEmpty()) {
      return;
    }
    html.append("<h2>Differences from base</h2>\n<table><tr><th>variant</th><th>figure</th>")
        .append("<th>difference</th><th>95 %</th><th></th></tr>\n");
    for (Findings.Line line : lines) {
      html.append("<tr><td>")
          .append(escape(line.variant()))
          .append("</td>")
          .append(cell(line.figure()))
          .append(cell(number(line.difference())))
          .append(cell("± " + number(line.margin())))
          .append(cell(line.shown() ? "differs" : "no difference shown"))
          .append("</tr>\n");
    }
    html.append("</table>\n");
    for (String figure : DRAWN) {
      html.append(
          Plots.differences(
              figure, lines.stream().filter(line -> line.figure().equals(figure)).toList()));
    }
  }

  private static String cell(String text) {
    return "<td>" + text + "</td>";
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, Math.abs(value) < 10 ? "%.4f" : "%.1f", value);
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }
}
