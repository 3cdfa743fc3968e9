package beamspread.chaos;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** A run as one file of HTML: a time line with a row for each party and fault, and the stories. */
public final class RunPage {
  private static final int LEFT = 190;
  private static final int WIDTH = 900;
  private static final int ROW = 20;

  /** Marks drawn in a row; more would only be a bar. */
  private static final int MOST_MARKS = 400;

  private final StringBuilder html = new StringBuilder();
  private final Run.Outcome outcome;
  private final double nanosPerPixel;

  private RunPage(Run.Outcome outcome) {
    this.outcome = outcome;
    List<History.Event> events = outcome.events();
    long end = events.isEmpty() ? 1 : Math.max(1, events.get(events.size() - 1).atNanos());
    nanosPerPixel = (double) end / WIDTH;
  }

  /** The whole file. */
  public static String html(String scene, Run.Outcome outcome) {
    return new RunPage(outcome).page(scene);
  }

  private String page(String scene) {
    html.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
        .append(escape(scene))
        .append(", seed ")
        .append(outcome.schedule().seed())
        .append("</title>\n<style>body{font-family:sans-serif;margin:2em}")
        .append("text{font-size:11px}pre{background:#f4f4f4;padding:1em}</style></head><body>\n");
    html.append("<h1>").append(escape(RunReport.lines(scene, outcome).get(0))).append("</h1>\n");
    timeLine();
    for (Breach breach : outcome.breaches()) {
      html.append("<h2>").append(escape(breach.invariant())).append("</h2>\n<pre>");
      Story.lines(breach, outcome.events()).forEach(line -> html.append(escape(line)).append('\n'));
      html.append("</pre>\n");
    }
    return html.append("</body></html>\n").toString();
  }

  private void timeLine() {
    List<History.Event> faults = new ArrayList<>();
    Set<String> parties = new LinkedHashSet<>();
    for (History.Event event : outcome.events()) {
      if (event.what() == History.What.FAULT) {
        faults.add(event);
      } else if (event.what() != History.What.HEALED && event.what() != History.What.PART) {
        parties.add(event.who());
      }
    }
    int rows = faults.size() + parties.size() + 1;
    html.append(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\">\n"
            .formatted(LEFT + WIDTH + 20, (rows + 1) * ROW));
    int row = 0;
    for (History.Event event : faults) {
      Fault fault = (Fault) event.facts().get("whom");
      label(row, fault.says());
      bar(row, event.atNanos(), fault.forNanos(), fault.kind().links() ? "#d95f02" : "#7570b3");
      row++;
    }
    for (String party : parties) {
      label(row, party);
      marks(row, party);
      row++;
    }
    label(row, "breaches");
    for (Breach breach : outcome.breaches()) {
      bar(row, breach.fromNanos(), Math.max(1, breach.atNanos() - breach.fromNanos()), "#e7298a");
    }
    seconds(rows);
    html.append("</svg>\n");
  }

  private void seconds(int rows) {
    double second = 1e9 / nanosPerPixel;
    int step = second < 20 ? 10 : 1;
    for (int at = 0; at * second <= WIDTH; at += step) {
      html.append(
          "<text x=\"%.0f\" y=\"%d\">%d s</text>\n"
              .formatted(LEFT + at * second, (rows + 1) * ROW - 5, at));
    }
  }

  private void marks(int row, String party) {
    int drawn = 0;
    for (History.Event event : outcome.events()) {
      if (event.who().equals(party) && drawn < MOST_MARKS) {
        String colour =
            switch (event.what()) {
              case STARTED -> "#1b9e77";
              case ENDED -> "#e7298a";
              case TOLD -> "#66a61e";
              case ASKED -> "#bbbbbb";
              default -> "#a6761d";
            };
        html.append(
            "<rect x=\"%.1f\" y=\"%d\" width=\"2\" height=\"%d\" fill=\"%s\"><title>%s</title></rect>\n"
                .formatted(
                    x(event.atNanos()), row * ROW + 3, ROW - 6, colour, escape(event.says())));
        drawn++;
      }
    }
  }

  private double x(long atNanos) {
    return LEFT + atNanos / nanosPerPixel;
  }

  private void label(int row, String text) {
    String shown = text.length() > 30 ? text.substring(0, 29) + "\u2026" : text;
    html.append(
        "<text x=\"0\" y=\"%d\">%s<title>%s</title></text>\n"
            .formatted(row * ROW + 14, escape(shown), escape(text)));
  }

  private void bar(int row, long atNanos, long forNanos, String colour) {
    html.append(
        String.format(
            Locale.ROOT,
            "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>\n",
            x(atNanos),
            row * ROW + 3,
            Math.max(2, forNanos / nanosPerPixel),
            ROW - 6,
            colour));
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }
}
