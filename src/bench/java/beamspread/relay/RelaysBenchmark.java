package beamspread.relay;

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

/**
 * Measures the cost of the decisions about one large value, beside others that wait for their
 * clients.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 2, jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"})
public class RelaysBenchmark implements RelayActions {
  private static final int PART_COUNT = 16;
  private static final int PART_BYTES = 1 << 14;

  @Param({"0", "30", "300"})
  private int waitingRelays;

  private final Relays relays = new Relays(RelaySettings.defaults(1 << 24));
  private int actionCount;

  @Setup
  public void fill() {
    for (int i = 0; i < waitingRelays; i++) {
      Relay relay = relays.begin(0, 4 << 20, this);
      relay.clientReady(0);
      relay.received(0, 1 << 19);
    }
  }

  /** Relays a value of 256 KiB in sixteen parts, each read by the client as it arrives. */
  @Benchmark
  public int relayValue() {
    Relay relay = relays.begin(1, (long) PART_COUNT * PART_BYTES, this);
    relay.clientReady(1);
    for (int i = 0; i < PART_COUNT; i++) {
      relay.received(1, PART_BYTES);
      relay.delivered(1, PART_BYTES);
    }
    relay.completed(1);
    return actionCount;
  }

  @Override
  public void setReading(boolean enabled) {
    actionCount++;
  }

  @Override
  public void closeServerConnection() {
    actionCount++;
  }

  @Override
  public void cutClient() {
    actionCount++;
  }

  @Override
  public boolean isShared() {
    return false;
  }

  @Override
  public void ended(boolean complete) {
    actionCount++;
  }
}
