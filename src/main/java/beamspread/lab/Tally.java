package beamspread.lab;

import beamspread.model.Settings;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** What has come of what clients asked in one run, after its warm-up. */
public final class Tally {
  private static final int MOST_STORIES = 5;

  private static final long LONGEST_MICROS = 600_000_000L;

  private final Histogram served = new Histogram(1, LONGEST_MICROS, 3);
  private long offered;
  private long onTime;
  private long late;
  private long refused;
  private long failed;
  private long lost;
  private long twice;
  private long drains;
  private long fallen;
  private final List<String> stories = new ArrayList<>();
  private double worth;
  private double offeredWorth;

  /** A client has given up or has been served. */
  public void ended(Settings.ServiceClass service, Answer answer, long nanos) {
    offered++;
    offeredWorth += service.worth();
    if (answer == Answer.SERVED) {
      boolean inTime = nanos <= service.aim() * 1e9;
      onTime += inTime ? 1 : 0;
      late += inTime ? 0 : 1;
      worth += service.worth() * (inTime ? 1 : service.lateShare());
      served.recordValue(Math.min(LONGEST_MICROS, Math.max(1, nanos / 1000)));
    } else if (answer == Answer.REFUSED) {
      refused++;
    } else {
      failed++;
    }
  }

  /** A try had no final answer in time: a rule is broken. */
  public void lost(String story) {
    lost++;
    tell("lost", story);
  }

  /** What may not be repeated was carried out twice: a rule is broken. */
  void twice(String story) {
    twice++;
    tell("carried out twice", story);
  }

  /** Something was sent to a box that was to drain: a rule is broken. */
  void drain(String story) {
    drains++;
    tell("sent to a box that drains", story);
  }

  /** A cold box was pushed over: a rule is broken. */
  void fallen(String story) {
    fallen++;
    tell("cold box pushed over", story);
  }

  private void tell(String rule, String story) {
    if (stories.size() < MOST_STORIES) {
      stories.add(rule + ": " + story);
    }
  }

  /**
   * The figures of the run.
   *
   * @param attempts sent to boxes
   * @param handshakes connections opened
   * @param turnedDown connections that boxes refused
   * @param fetches from the central database
   * @param steps events of the run, 0 where there are none
   */
  public Result result(long attempts, long handshakes, long turnedDown, long fetches, long steps) {
    return result(attempts, handshakes, turnedDown, fetches, steps, Course.none());
  }

  /** What was served and counts, in microseconds. */
  Histogram served() {
    return served;
  }

  Result result(
      long attempts, long handshakes, long turnedDown, long fetches, long steps, Course course) {
    return new Result(
        offered,
        onTime,
        late,
        refused,
        failed,
        lost,
        twice,
        drains,
        fallen,
        offeredWorth == 0 ? 0 : worth / offeredWorth,
        served.getValueAtPercentile(50) / 1000.0,
        served.getValueAtPercentile(99) / 1000.0,
        offered == 0 ? 0 : (double) attempts / offered,
        handshakes,
        turnedDown,
        fetches,
        steps,
        course,
        List.copyOf(stories));
  }
}
