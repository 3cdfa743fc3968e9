package beamspread.tier;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** What a turn and a datagram cost a member, by the size of its tier. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 2, jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"})
public class TierBenchmark implements TierActions {
  private static final long SECOND = 1_000_000_000;

  /** Silence is long, so that beats need not be fed in with each turn. */
  private static final TierSettings SETTINGS =
      new TierSettings(
          "bench", SECOND / 4, 60 * SECOND, SECOND / 4, 3 * SECOND, 600 * SECOND, 2000, 32_000);

  private static final int FED_EVERY = 200;

  @Param({"14", "100", "1000"})
  private int members;

  private Tier tier;
  private byte[][] beats;
  private long now;
  private int next;
  private int turns;
  private int told;

  @Setup
  public void fill() {
    tier = new Tier(SETTINGS, 0, members, new MemberInfo("n0", "a", "1"), 1, 1, 0, this);
    beats = new byte[members][];
    for (int number = 1; number < members; number++) {
      beats[number] = beat(number, 0);
      tier.receive(now, number, beats[number]);
    }
    for (int turn = 0; turn < 200; turn++) {
      turn();
    }
    // As one that knows the same would send it: else each is an occasion to compare.
    for (int number = 1; number < members; number++) {
      beats[number] = beat(number, tier.digest());
    }
  }

  private static byte[] beat(int number, int digest) {
    MemberRecord own = new MemberRecord(number, 50, 0, MemberState.ALIVE);
    return new Datagram(
            Datagram.Kind.ANSWER, SETTINGS.tag(), own, 1, 0, Datagram.NEVER, digest, List.of())
        .encode();
  }

  /** A turn, with the beats that it sends; once in 200 of them all are heard. */
  @Benchmark
  public int turn() {
    now += SETTINGS.intervalNanos();
    for (int number = 1; turns % FED_EVERY == 0 && number < members; number++) {
      tier.receive(now, number, beats[number]);
    }
    turns++;
    tier.run(now);
    return told;
  }

  /** A beat that says nothing new. */
  @Benchmark
  public int datagram() {
    next = next % (members - 1) + 1;
    tier.receive(now, next, beats[next]);
    return told;
  }

  @Override
  public void send(int number, byte[] datagram) {
    told += datagram.length;
  }

  @Override
  public void memberChanged(MemberRecord before, MemberRecord after, String why) {
    told++;
  }
}
