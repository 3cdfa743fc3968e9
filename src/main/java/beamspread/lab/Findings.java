package beamspread.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What an experiment has shown.
 *
 * @param firstSeed the seed of each variant's first run
 * @param results the runs of each variant, in the order of the seeds
 */
public record Findings(long firstSeed, Map<String, List<Result>> results) {
  private static final double LEVEL = 0.95;

  /**
   * One figure of a variant beside the base.
   *
   * @param variant the variant's name
   * @param figure the figure's name
   * @param base the base's mean
   * @param mean the variant's mean
   * @param difference the mean of the differences over the seeds
   * @param margin half the interval around it, at 95 %
   * @param shown whether a difference is shown
   * @param needed how many seeds would show it, 0 if it is shown or there is none
   */
  public record Line(
      String variant,
      String figure,
      double base,
      double mean,
      double difference,
      double margin,
      boolean shown,
      long needed) {}

  /** How many runs there are of each variant. */
  public int seeds() {
    return results.get(Experiment.BASE).size();
  }

  /** The variants beside the base; empty if there are fewer than two runs of each. */
  public List<Line> compared() {
    List<Line> lines = new ArrayList<>();
    List<Result> base = results.get(Experiment.BASE);
    if (base.size() < 2) {
      return lines;
    }
    for (Map.Entry<String, List<Result>> variant : results.entrySet()) {
      if (variant.getKey().equals(Experiment.BASE)) {
        continue;
      }
      for (String figure : base.get(0).figures().keySet()) {
        Comparison found =
            Comparison.of(values(base, figure), values(variant.getValue(), figure), LEVEL);
        lines.add(
            new Line(
                variant.getKey(),
                figure,
                found.first(),
                found.second(),
                found.difference(),
                found.margin(),
                found.shown(),
                found.needed()));
      }
    }
    return lines;
  }

  /** The mean of each figure of a variant. */
  public Map<String, Double> means(String variant) {
    Map<String, Double> means = new LinkedHashMap<>();
    List<Result> runs = results.get(variant);
    for (String figure : runs.get(0).figures().keySet()) {
      double sum = 0;
      for (double value : values(runs, figure)) {
        sum += value;
      }
      means.put(figure, sum / runs.size());
    }
    return means;
  }

  private static double[] values(List<Result> runs, String figure) {
    return runs.stream().mapToDouble(run -> run.figures().get(figure)).toArray();
  }

  /** The runs that broke a rule, each with the seed that plays it again. */
  public List<String> violations() {
    List<String> all = new ArrayList<>();
    results.forEach(
        (variant, runs) -> {
          for (int i = 0; i < runs.size(); i++) {
            Result run = runs.get(i);
            if (!run.kept()) {
              all.add(
                  variant
                      + ", seed "
                      + (firstSeed + i)
                      + ": "
                      + run.lost()
                      + " lost, "
                      + run.twice()
                      + " carried out twice, "
                      + run.drains()
                      + " sent to a box that drains, "
                      + run.fallen()
                      + " cold boxes pushed over");
              run.stories().forEach(story -> all.add("  " + story));
            }
          }
        });
    return all;
  }

  /** Events played, over all runs. */
  public long steps() {
    return results.values().stream().flatMap(List::stream).mapToLong(Result::steps).sum();
  }
}
