package beamspread.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * The decision module's timers, on the event loop. A timer that is no longer needed is removed: it
 * would wake the event loop for nothing, and most requests end long before their timers are due.
 */
final class WakeTimers {
  private final EventLoop loop;
  private final LongConsumer onDue;
  private final Map<Long, ScheduledFuture<?>> byToken = new HashMap<>();

  /**
   * @param onDue receives the token of each timer that is due
   */
  WakeTimers(EventLoop loop, LongConsumer onDue) {
    this.loop = loop;
    this.onDue = onDue;
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
    onDue.accept(token);
  }

  /** Cancels the timer that was set last under this token, if it is not due yet. */
  void cancel(long token) {
    ScheduledFuture<?> timer = byToken.remove(token);
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
