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

/** What the pools' decisions about one attempt cost, with the compiler that a node runs on. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 2, jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"})
public class PoolsBenchmark implements PoolActions<Object> {
  private static final long MS = 1_000_000L;
  private static final int SERVERS = 34;

  /** Attempts that are under way at each server. */
  @Param({"1", "6", "24"})
  private int busy;

  private final Object attempt = new Object();
  private final Random random = new Random(1);
  private final ArrayDeque<Long> opening = new ArrayDeque<>();
  private final ArrayDeque<Long> written = new ArrayDeque<>();
  private Pools<Object> pools;
  private long now = 1_000_000 * MS;

  @Setup
  public void fill() {
    PoolSettings settings =
        new PoolSettings(6, 2, 6, 32, 400, 6, 64, 0, 6, 30_000 * MS, 0, 400 * MS, 2000 * MS);
    pools = new Pools<>(settings, random::nextDouble, this);
    for (int server = 0; server < SERVERS; server++) {
      pools.listed(server, false, Long.MIN_VALUE);
      for (int i = 0; i < busy; i++) {
        pools.send(now, server, attempt, false);
        comeUp();
      }
    }
  }

  private void comeUp() {
    for (Long link = opening.poll(); link != null; link = opening.poll()) {
      pools.opened(now, link);
    }
  }

  /** One attempt is sent, and the one that has waited longest is answered. */
  @Benchmark
  public int sendAndAnswer() {
    now += 50_000;
    pools.send(now, random.nextInt(SERVERS), attempt, random.nextInt(10) == 0);
    comeUp();
    Long link = written.poll();
    if (link != null) {
      pools.heard(now, link);
      pools.answered(now, link, now - MS, true, false, false);
      pools.readDone(now, link, false);
    }
    return pools.sockets();
  }

  /** A sweep over all servers, ten a second in a node. */
  @Benchmark
  public int tick() {
    now += 1000;
    pools.tick(now);
    return pools.sockets();
  }

  @Override
  public void open(long server, long link) {
    opening.add(link);
  }

  @Override
  public boolean write(long link, Object one) {
    written.add(link);
    return true;
  }

  @Override
  public void close(long link) {
    throw new IllegalStateException("nothing falls idle here");
  }

  @Override
  public void unreachable(Object one) {
    throw new IllegalStateException("every server is there");
  }

  @Override
  public void full(Object one) {
    throw new IllegalStateException("nothing comes in parts here");
  }
}
