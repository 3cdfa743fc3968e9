package beamspread.report;

import beamspread.lab.Course;
import beamspread.lab.Findings;
import beamspread.lab.Result;
import de.erichseifert.vectorgraphics2d.Document;
import de.erichseifert.vectorgraphics2d.VectorGraphics2D;
import de.erichseifert.vectorgraphics2d.svg.SVGProcessor;
import de.erichseifert.vectorgraphics2d.util.PageSize;
import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.HeatMapChart;
import org.knowm.xchart.HeatMapChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** The report's plots, each as an SVG element. */
final class Plots {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 380;

  private Plots() {}

  /** What part of what clients asked had this end, over time; means over the seeds. */
  static String course(
      String title, Map<String, List<Result>> results, ToDoubleFunction<Course.Slice> figure) {
    XYChart chart = lines(title, "seconds", "part of requests");
    results.forEach(
        (variant, runs) -> {
          Course first = runs.get(0).course();
          List<Double> x = new ArrayList<>();
          List<Double> y = new ArrayList<>();
          for (int i = 0; i < first.slices().size(); i++) {
            double sum = 0;
            double asked = 0;
            for (Result run : runs) {
              Course.Slice slice = run.course().slices().get(i);
              sum += figure.applyAsDouble(slice);
              asked += slice.asked();
            }
            x.add((i + 0.5) * first.slice());
            y.add(asked == 0 ? 0 : sum / asked);
          }
          chart.addSeries(variant, x, y).setMarker(SeriesMarkers.NONE);
        });
    return svg(chart);
  }

  /** Milliseconds until served by percentile, means over the seeds; the tail is stretched. */
  static String percentiles(Map<String, List<Result>> results) {
    XYChart chart =
        lines("Time until served", "nines of the percentile (1: 90, 2: 99, 3: 99.9)", "ms");
    chart.getStyler().setYAxisLogarithmic(true);
    results.forEach(
        (variant, runs) -> {
          List<Double> x = new ArrayList<>();
          List<Double> y = new ArrayList<>();
          for (int i = 0; i < Course.PERCENTILES.size(); i++) {
            int at = i;
            x.add(-Math.log10(1 - Course.PERCENTILES.get(i) / 100));
            double mean =
                runs.stream()
                    .mapToDouble(run -> run.course().percentiles().get(at))
                    .average()
                    .orElse(0);
            y.add(Math.max(0.001, mean));
          }
          chart.addSeries(variant, x, y).setMarker(SeriesMarkers.NONE);
        });
    return svg(chart);
  }

  /** How many requests were at each box when, in one run. */
  static String heat(String variant, Result run) {
    Course course = run.course();
    List<Integer> x = new ArrayList<>();
    List<Integer> y = new ArrayList<>();
    List<Number[]> cells = new ArrayList<>();
    int columns = course.boxes().get(0).size();
    for (int i = 0; i < columns; i++) {
      x.add((int) Math.round((i + 1) * course.slice()));
    }
    for (int box = 0; box < course.boxes().size(); box++) {
      y.add(box);
      for (int i = 0; i < columns; i++) {
        cells.add(new Number[] {i, box, course.boxes().get(box).get(i)});
      }
    }
    HeatMapChart chart =
        new HeatMapChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(variant + ": requests at each box, first seed")
            .xAxisTitle("seconds")
            .yAxisTitle("box")
            .build();
    chart.getStyler().setChartBackgroundColor(Color.WHITE);
    chart.getStyler().setRangeColors(new Color[] {Color.WHITE, new Color(0xb0, 0x10, 0x20)});
    chart.getStyler().setXAxisMaxLabelCount(12);
    chart.addSeries("requests", x, y, cells);
    return svg(chart);
  }

  /** The differences of one figure from the base, with their intervals. */
  static String differences(String figure, List<Findings.Line> lines) {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(figure + ": difference from base, 95 % intervals")
            .build();
    chart.getStyler().setChartBackgroundColor(Color.WHITE);
    chart.getStyler().setLegendVisible(false);
    chart.getStyler().setXAxisLabelRotation(lines.size() > 6 ? 45 : 0);
    chart.addSeries(
        figure,
        lines.stream().map(Findings.Line::variant).toList(),
        lines.stream().map(Findings.Line::difference).toList(),
        lines.stream().map(Findings.Line::margin).toList());
    return svg(chart);
  }

  private static XYChart lines(String title, String x, String y) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle(x)
            .yAxisTitle(y)
            .build();
    chart.getStyler().setChartBackgroundColor(Color.WHITE);
    chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
    return chart;
  }

  private static String svg(Chart<?, ?> chart) {
    VectorGraphics2D graphics = new VectorGraphics2D();
    chart.paint(graphics, chart.getWidth(), chart.getHeight());
    Document document =
        new SVGProcessor()
            .getDocument(graphics.getCommands(), new PageSize(chart.getWidth(), chart.getHeight()));
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      document.writeTo(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    String text = bytes.toString(StandardCharsets.UTF_8);
    // Within HTML there is neither a declaration nor a document type.
    return text.substring(text.indexOf("<svg"));
  }
}
