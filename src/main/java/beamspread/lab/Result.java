package beamspread.lab;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The figures of one run.
 *
 * @param offered what clients asked, each counted once however often it was tried
 * @param onTime served within the aim
 * @param late served after it
 * @param refused given up after refusals
 * @param failed given up after failures
 * @param lost tries without a final answer in time, which breaks a rule
 * @param twice what may not be repeated and was, which breaks a rule
 * @param drains sent to a box too long after it was told to drain, which breaks a rule
 * @param fallen cold boxes that were pushed over, which breaks a rule
 * @param worth the part of the worth that was earned
 * @param p50 milliseconds until half was served
 * @param p99 milliseconds until 99 of 100 were
 * @param attempts sent to boxes, for each thing asked
 * @param handshakes connections opened
 * @param turnedDown connections that boxes refused
 * @param fetches from the central database
 * @param steps events of the run
 * @param course how it went over time
 * @param stories of the first rules that were broken
 */
public record Result(
    long offered,
    long onTime,
    long late,
    long refused,
    long failed,
    long lost,
    long twice,
    long drains,
    long fallen,
    double worth,
    double p50,
    double p99,
    double attempts,
    long handshakes,
    long turnedDown,
    long fetches,
    long steps,
    Course course,
    List<String> stories) {

  /** Whether all rules that the model checks were kept. */
  public boolean kept() {
    return lost == 0 && twice == 0 && drains == 0 && fallen == 0;
  }

  /** What variants are compared by, under the names that operators see. */
  public Map<String, Double> figures() {
    Map<String, Double> figures = new LinkedHashMap<>();
    double all = Math.max(1, offered);
    figures.put("worth", worth);
    figures.put("on_time", onTime / all);
    figures.put("late", late / all);
    figures.put("refused", refused / all);
    figures.put("failed", failed / all);
    figures.put("p50_ms", p50);
    figures.put("p99_ms", p99);
    figures.put("attempts", attempts);
    figures.put("handshakes", (double) handshakes);
    figures.put("turned_down", (double) turnedDown);
    figures.put("fetches", fetches / all);
    return figures;
  }
}
