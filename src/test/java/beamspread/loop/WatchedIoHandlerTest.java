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

/** How often a loop looks at its sockets while it waits for timers. */
class WatchedIoHandlerTest {
  private static final int TIMERS = 40;

  /** Not of whole milliseconds: rounded to the nearest, a wait would end well before its timer. */
  private static final long EACH_NANOS = 5_450_000L;

  private final AtomicInteger looks = new AtomicInteger();

  /** The selector's own handler, counting the looks. */
  private class Counting extends ForwardingIoHandler {
    Counting(IoHandler inner) {
      super(inner);
    }

    @Override
    public int run(IoHandlerContext context) {
      looks.incrementAndGet();
      return super.run(context);
    }
  }

  /** One timer after the other, each when the one before has fired. */
  private void chain(EventLoop loop, int left, CountDownLatch done) {
    if (left == 0) {
      done.countDown();
      return;
    }
    loop.schedule(() -> chain(loop, left - 1, done), EACH_NANOS, TimeUnit.NANOSECONDS);
  }

  @Test
  void itLooksOnceForEachTimer() throws Exception {
    IoHandlerFactory nio = NioIoHandler.newFactory();
    IoHandlerFactory counting = executor -> new Counting(nio.newHandler(executor));
    LoopWatch watch = new LoopWatch(nanos -> {});
    var group = new MultiThreadIoEventLoopGroup(1, WatchedIoHandler.factory(counting, watch));
    try {
      CountDownLatch done = new CountDownLatch(1);
      group.next().execute(() -> chain(group.next(), TIMERS, done));
      assertThat(done.await(20, TimeUnit.SECONDS)).isTrue();
      // One look for each, and a few for the start and for what else wakes a loop.
      assertThat(looks.get()).isBetween(TIMERS, 2 * TIMERS);
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  /** As a wait that is interrupted while the process is stopped, or stopped on its way back. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void aWaitThatEndsTooLateIsFollowedByALookAtOnce(int found) throws Exception {
    List<Boolean> blocking = new CopyOnWriteArrayList<>();
    CountDownLatch looked = new CountDownLatch(1);
    LoopWatch watch = new LoopWatch(nanos -> {});
    IoHandlerFactory nio = NioIoHandler.newFactory();
    IoHandlerFactory late =
        executor -> {
          IoHandler inner = nio.newHandler(executor);
          return new Counting(inner) {
            @Override
            public int run(IoHandlerContext context) {
              blocking.add(context.canBlock());
              if (blocking.size() == 2) {
                LockSupport.parkNanos(3 * LoopWatch.PAUSE_NANOS);
                return found;
              }
              if (blocking.size() == 3) {
                looked.countDown();
              }
              return inner.run(context);
            }
          };
        };
    var group = new MultiThreadIoEventLoopGroup(1, WatchedIoHandler.factory(late, watch));
    try {
      EventLoop loop = group.next();
      loop.submit(() -> loop.schedule(() -> {}, 20, TimeUnit.MILLISECONDS)).sync();
      assertThat(looked.await(20, TimeUnit.SECONDS)).isTrue();
      assertThat(blocking.get(1)).as("the wait").isTrue();
      assertThat(blocking.get(2)).as("the look").isFalse();
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  @Test
  void waitsAreRoundedUpToWholeMilliseconds() {
    assertThat(WatchedIoHandler.wholeMillis(0)).isZero();
    assertThat(WatchedIoHandler.wholeMillis(-5)).isEqualTo(-5);
    assertThat(WatchedIoHandler.wholeMillis(1)).isEqualTo(1_000_000);
    assertThat(WatchedIoHandler.wholeMillis(1_000_000)).isEqualTo(1_000_000);
    assertThat(WatchedIoHandler.wholeMillis(2_400_000)).isEqualTo(3_000_000);
    assertThat(WatchedIoHandler.wholeMillis(Long.MAX_VALUE)).isEqualTo(Long.MAX_VALUE);
  }
}
