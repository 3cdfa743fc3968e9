package beamspread.replay;

import beamspread.lab.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One figure of the model beside that of the replay, means over the same seeds.
 *
 * @param figure its name
 * @param predicted by the model
 * @param measured on loopback
 * @param apart how far the first lies from the second, as a part of the second
 * @param lowest the least of the runs measured
 * @param highest the most of them
 * @param holds whether they agree within the bound
 */
public record Prediction(
    String figure,
    double predicted,
    double measured,
    double apart,
    double lowest,
    double highest,
    boolean holds) {
  /** What the model is judged by. */
  private static final List<String> JUDGED = List.of("worth", "late", "p50_ms", "p99_ms");

  /** Parts of all requests below this on both sides are the same for whoever decides by them. */
  private static final double NEGLIGIBLE = 0.005;

  /**
   * Puts the runs of a scenario beside each other.
   *
   * @param bound for instance 0.1 for ten percent
   */
  public static List<Prediction> of(List<Result> model, List<Result> replay, double bound) {
    List<Prediction> all = new ArrayList<>();
    List<Map<String, Double>> seen = replay.stream().map(Result::figures).toList();
    List<Map<String, Double>> said = model.stream().map(Result::figures).toList();
    for (String figure : JUDGED) {
      double predicted = said.stream().mapToDouble(run -> run.get(figure)).average().orElse(0);
      var measured = seen.stream().mapToDouble(run -> run.get(figure)).summaryStatistics();
      double mean = measured.getAverage();
      double apart = mean == 0 ? (predicted == 0 ? 0 : 1) : (predicted - mean) / mean;
      boolean small = figure.equals("late") && Math.max(predicted, mean) < NEGLIGIBLE;
      all.add(
          new Prediction(
              figure,
              predicted,
              mean,
              apart,
              measured.getMin(),
              measured.getMax(),
              small || Math.abs(apart) <= bound));
    }
    return all;
  }
}
