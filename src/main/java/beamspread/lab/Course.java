package beamspread.lab;

import java.util.List;

/**
 * How a run went over time, in slices of equal length that count from its beginning, the warm-up
 * included; bounded however long the run and however many the boxes.
 *
 * @param slice length of a slice in seconds
 * @param slices what clients saw, by when they asked
 * @param boxes for each box, or group of neighbouring boxes, how many requests were at it at the
 *     end of each slice
 * @param percentiles milliseconds at {@link #PERCENTILES}, of what was served and counts
 */
public record Course(
    double slice, List<Slice> slices, List<List<Double>> boxes, List<Double> percentiles) {
  /** The most slices that are told apart. */
  static final int MOST_SLICES = 300;

  /** The most boxes, or groups of them. */
  static final int MOST_BOXES = 60;

  /** Where the curve of percentiles is taken. */
  public static final List<Double> PERCENTILES =
      List.of(1.0, 5.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 98.0, 99.0, 99.5, 99.9, 99.99);

  /**
   * One slice.
   *
   * @param asked requests of clients, each counted once
   * @param onTime of these, served within the aim
   * @param late served after it
   * @param refused given up after refusals
   * @param failed given up after failures
   */
  public record Slice(int asked, int onTime, int late, int refused, int failed) {}

  /** Copies that nobody changes. */
  public Course {
    slices = List.copyOf(slices);
    boxes = boxes.stream().map(List::copyOf).toList();
    percentiles = List.copyOf(percentiles);
  }

  /** The course of what was not followed. */
  static Course none() {
    return new Course(1, List.of(), List.of(), List.of());
  }
}
