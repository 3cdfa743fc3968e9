package beamspread.loop;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Counts the polls of an event loop that waits for timers. */
class MonitoredIoHandlerTest {
  private static final int TIMER_COUNT = 40;

  /**
   * Not a whole number of milliseconds: rounded to the nearest, a wait would end well before its
   * timer.
   */
  private static final long TIMER_DELAY_NANOS = 5_450_000L;

  private final AtomicInteger runs = new AtomicInteger();

  /** Delegates to the selector's handler and counts its runs. */
  private class CountingIoHandler extends ForwardingIoHandler {
    CountingIoHandler(IoHandler inner) {
      super(inner);
    }

    @Override
    public int run(IoHandlerContext context) {
      runs.incrementAndGet();
      return super.run(context);
    }
  }

  /** Schedules each timer when the one before has fired. */
  private void scheduleChain(EventLoop loop, int remaining, CountDownLatch done) {
    if (remaining == 0) {
      done.countDown();
      return;
    }
    loop.schedule(
        () -> scheduleChain(loop, remaining - 1, done), TIMER_DELAY_NANOS, TimeUnit.NANOSECONDS);
  }

  @Test
  void runsOnceForEachTimer() throws Exception {
    IoHandlerFactory nio = NioIoHandler.newFactory();
    IoHandlerFactory counting = executor -> new CountingIoHandler(nio.newHandler(executor));
    EventLoopMonitor monitor = new EventLoopMonitor(nanos -> {});
    var group = new MultiThreadIoEventLoopGroup(1, MonitoredIoHandler.factory(counting, monitor));
    try {
      CountDownLatch done = new CountDownLatch(1);
      group.next().execute(() -> scheduleChain(group.next(), TIMER_COUNT, done));
      assertThat(done.await(20, TimeUnit.SECONDS)).isTrue();
      // One run per timer, and a few for the start and other wake-ups.
      assertThat(runs.get()).isBetween(TIMER_COUNT, 2 * TIMER_COUNT);
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  /**
   * Simulates a wait that is interrupted, or suspended while it returns, because the process is
   * stopped.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void pollsSocketsAtOnceAfterALateWakeUp(int handledChannels) throws Exception {
    List<Boolean> blocking = new CopyOnWriteArrayList<>();
    CountDownLatch polled = new CountDownLatch(1);
    EventLoopMonitor monitor = new EventLoopMonitor(nanos -> {});
    IoHandlerFactory nio = NioIoHandler.newFactory();
    IoHandlerFactory delayingHandler =
        executor -> {
          IoHandler inner = nio.newHandler(executor);
          return new CountingIoHandler(inner) {
            @Override
            public int run(IoHandlerContext context) {
              blocking.add(context.canBlock());
              if (blocking.size() == 2) {
                LockSupport.parkNanos(3 * EventLoopMonitor.PAUSE_NANOS);
                return handledChannels;
              }
              if (blocking.size() == 3) {
                polled.countDown();
              }
              return inner.run(context);
            }
          };
        };
    var group =
        new MultiThreadIoEventLoopGroup(1, MonitoredIoHandler.factory(delayingHandler, monitor));
    try {
      EventLoop loop = group.next();
      loop.submit(() -> loop.schedule(() -> {}, 20, TimeUnit.MILLISECONDS)).sync();
      assertThat(polled.await(20, TimeUnit.SECONDS)).isTrue();
      assertThat(blocking.get(1)).as("the wait may block").isTrue();
      assertThat(blocking.get(2)).as("the poll after it may block").isFalse();
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  @Test
  void roundsWaitsUpToWholeMilliseconds() {
    assertThat(MonitoredIoHandler.roundUpToMillis(0)).isZero();
    assertThat(MonitoredIoHandler.roundUpToMillis(-5)).isEqualTo(-5);
    assertThat(MonitoredIoHandler.roundUpToMillis(1)).isEqualTo(1_000_000);
    assertThat(MonitoredIoHandler.roundUpToMillis(1_000_000)).isEqualTo(1_000_000);
    assertThat(MonitoredIoHandler.roundUpToMillis(2_400_000)).isEqualTo(3_000_000);
    assertThat(MonitoredIoHandler.roundUpToMillis(Long.MAX_VALUE)).isEqualTo(Long.MAX_VALUE);
  }
}
