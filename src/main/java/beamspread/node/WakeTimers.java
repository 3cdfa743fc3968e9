package beamspread.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * The decision module's timers, on the event loop. A timer that is no longer wanted is taken off:
 * it would wake the loop for nothing, and most requests are over long before their timers are due.
 */
final class WakeTimers {
  private final EventLoop loop;
  private final LongConsumer due;
  private final Map<Long, ScheduledFuture<?>> byToken = new HashMap<>();

  /**
   * @param due is told the token of each timer that is due
   */
  WakeTimers(EventLoop loop, LongConsumer due) {
    this.loop = loop;
    this.due = due;
  }

  /**
   * Sets a timer.
   *
   * @param delay seconds
   */
  void set(long token, double delay) {
    long nanos = (long) (delay * 1e9);
    byToken.put(token, loop.schedule(() -> fire(token), nanos, TimeUnit.NANOSECONDS));
  }

  private void fire(long token) {
    byToken.remove(token);
    due.accept(token);
  }

  /** Takes off the timer that was set last under this token, if it is not due yet. */
  void cancel(long token) {
    ScheduledFuture<?> timer = byToken.remove(token);
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
