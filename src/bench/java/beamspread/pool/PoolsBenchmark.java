package beamspread.pool;

import java.util.ArrayDeque;
import java.util.Random;
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
 * Measures the cost of the pools' decisions about one attempt, with the JIT compiler settings of a
 * node.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 2, jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"})
public class PoolsBenchmark implements PoolActions<Object> {
  private static final long MS = 1_000_000L;
  private static final int SERVERS = 34;

  /** Attempts in flight at each server. */
  @Param({"1", "6", "24"})
  private int attemptsPerServer;

  private final Object attempt = new Object();
  private final Random random = new Random(1);
  private final ArrayDeque<Long> openingConnections = new ArrayDeque<>();
  private final ArrayDeque<Long> inFlightConnections = new ArrayDeque<>();
  private Pools<Object> pools;
  private long now = 1_000_000 * MS;

  @Setup
  public void fill() {
    PoolSettings settings =
        new PoolSettings(6, 2, 6, 32, 400, 6, 64, 0, 6, 30_000 * MS, 0, 400 * MS, 2000 * MS);
    pools = new Pools<>(settings, random::nextDouble, this);
    for (int server = 0; server < SERVERS; server++) {
      pools.serverListed(server, false, Long.MIN_VALUE);
      for (int i = 0; i < attemptsPerServer; i++) {
        pools.send(now, server, attempt, false);
        completeOpenings();
      }
    }
  }

  private void completeOpenings() {
    for (Long connectionId = openingConnections.poll();
        connectionId != null;
        connectionId = openingConnections.poll()) {
      pools.connectionOpened(now, connectionId);
    }
  }

  /** Sends one attempt and answers the oldest one. */
  @Benchmark
  public int sendAndAnswer() {
    now += 50_000;
    pools.send(now, random.nextInt(SERVERS), attempt, random.nextInt(10) == 0);
    completeOpenings();
    Long connectionId = inFlightConnections.poll();
    if (connectionId != null) {
      pools.dataReceived(now, connectionId);
      pools.attemptAnswered(now, connectionId, now - MS, true, false, false);
      pools.readCompleted(now, connectionId, false);
    }
    return pools.socketCount();
  }

  /** Runs one sweep over all servers; a node runs ten a second. */
  @Benchmark
  public int tick() {
    now += 1000;
    pools.tick(now);
    return pools.socketCount();
  }

  @Override
  public void open(long server, long connectionId) {
    openingConnections.add(connectionId);
  }

  @Override
  public boolean write(long connectionId, Object ignored) {
    inFlightConnections.add(connectionId);
    return true;
  }

  @Override
  public void close(long connectionId) {
    throw new IllegalStateException("no connection becomes idle in this benchmark");
  }

  @Override
  public void rejectUnreachable(Object ignored) {
    throw new IllegalStateException("every server is listed");
  }

  @Override
  public void rejectFull(Object ignored) {
    throw new IllegalStateException("no answer is streamed in this benchmark");
  }
}
