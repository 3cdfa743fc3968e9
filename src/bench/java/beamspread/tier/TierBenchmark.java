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

/** Measures the cost of a turn and of a datagram for a member, by the size of its tier. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 2, jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"})
public class TierBenchmark implements TierActions {
  private static final long SECOND = 1_000_000_000;

  /** The silence limit is long, so that heartbeats need not be received in each turn. */
  private static final TierSettings SETTINGS =
      new TierSettings(
          "bench", SECOND / 4, 60 * SECOND, SECOND / 4, 3 * SECOND, 600 * SECOND, 2000, 32_000);

  private static final int HEARTBEAT_TURNS = 200;

  @Param({"14", "100", "1000"})
  private int members;

  private Tier tier;
  private byte[][] heartbeats;
  private long now;
  private int nextSender;
  private int turns;
  private int outputCount;

  @Setup
  public void fill() {
    tier = new Tier(SETTINGS, 0, members, new MemberInfo("n0", "a", "1"), 1, 1, 0, this);
    heartbeats = new byte[members][];
    for (int number = 1; number < members; number++) {
      heartbeats[number] = heartbeat(number, 0);
      tier.receive(now, number, heartbeats[number]);
    }
    for (int turn = 0; turn < 200; turn++) {
      turn();
    }
    // The digest of a member with the same state; a different one would start a comparison each
    // time.
    for (int number = 1; number < members; number++) {
      heartbeats[number] = heartbeat(number, tier.digest());
    }
  }

  private static byte[] heartbeat(int number, int digest) {
    MemberRecord sender = new MemberRecord(number, 50, 0, MemberState.ALIVE);
    return new Datagram(
            Datagram.Kind.ANSWER, SETTINGS.tag(), sender, 1, 0, Datagram.NEVER, digest, List.of())
        .encode();
  }

  /**
   * Runs a turn with the heartbeats that it sends; in one of 200 turns all members' heartbeats
   * arrive.
   */
  @Benchmark
  public int turn() {
    now += SETTINGS.intervalNanos();
    for (int number = 1; turns % HEARTBEAT_TURNS == 0 && number < members; number++) {
      tier.receive(now, number, heartbeats[number]);
    }
    turns++;
    tier.run(now);
    return outputCount;
  }

  /** Receives a heartbeat without changes. */
  @Benchmark
  public int datagram() {
    nextSender = nextSender % (members - 1) + 1;
    tier.receive(now, nextSender, heartbeats[nextSender]);
    return outputCount;
  }

  @Override
  public void send(int number, byte[] datagram) {
    outputCount += datagram.length;
  }

  @Override
  public void memberChanged(MemberRecord before, MemberRecord after, String why) {
    outputCount++;
  }
}
