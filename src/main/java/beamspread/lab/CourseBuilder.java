package beamspread.lab;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** Gathers a run's {@link Course}. */
final class CourseBuilder {
  private final double slice;
  private final int[][] counts;
  private final List<List<Double>> boxes = new ArrayList<>();
  private final int group;

  /**
   * @param seconds the whole run, its warm-up included
   */
  CourseBuilder(double seconds, int boxCount) {
    slice = Math.max(1, Math.ceil(seconds / Course.MOST_SLICES));
    counts = new int[(int) Math.ceil(seconds / slice)][1 + Answer.values().length];
    group = (boxCount + Course.MOST_BOXES - 1) / Course.MOST_BOXES;
    for (int i = 0; i < boxCount; i += group) {
      boxes.add(new ArrayList<>());
    }
  }

  long sliceNanos() {
    return (long) (slice * 1e9);
  }

  /** What a client asked then has its end. */
  void ended(long since, Answer answer, boolean late) {
    int[] slot = counts[(int) Math.min(counts.length - 1, since / sliceNanos())];
    slot[0]++;
    int what =
        switch (answer) {
          case SERVED -> late ? 2 : 1;
          case REFUSED -> 3;
          case FAILED, GONE -> 4;
        };
    slot[what]++;
  }

  /** The end of a slice: how many requests are at each box. */
  void slice(int[] inside) {
    for (int i = 0; i < boxes.size(); i++) {
      double sum = 0;
      int from = i * group;
      int to = Math.min(inside.length, from + group);
      for (int box = from; box < to; box++) {
        sum += inside[box];
      }
      boxes.get(i).add(sum / (to - from));
    }
  }

  Course course(Histogram served) {
    List<Course.Slice> slices = new ArrayList<>();
    for (int[] c : counts) {
      slices.add(new Course.Slice(c[0], c[1], c[2], c[3], c[4]));
    }
    return new Course(
        slice,
        slices,
        boxes,
        Course.PERCENTILES.stream().map(at -> served.getValueAtPercentile(at) / 1000.0).toList());
  }
}
