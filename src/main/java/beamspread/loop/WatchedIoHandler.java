package beamspread.loop;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;

/**
 * An event loop's I/O, with a watch that is told when the loop waits and when it works.
 *
 * <p>The selector waits whole milliseconds. A timer that is due in less than half of one makes it
 * not wait at all: the loop then looks at its sockets again and again until the timer is due, and
 * uses processor time, half of it in the system, for as long as the clock takes to move on. Each
 * wait is therefore rounded up to whole milliseconds, so that timers fire up to one later.
 */
public final class WatchedIoHandler extends ForwardingIoHandler {
  private static final long MILLI_NANOS = 1_000_000L;

  private final LoopWatch watch;

  private WatchedIoHandler(IoHandler inner, LoopWatch watch) {
    super(inner);
    this.watch = watch;
  }

  /** A factory for the one loop that this watch belongs to. */
  public static IoHandlerFactory factory(IoHandlerFactory inner, LoopWatch watch) {
    return executor -> new WatchedIoHandler(inner.newHandler(executor), watch);
  }

  @Override
  public int run(IoHandlerContext context) {
    Timed timed = new Timed(context);
    long now = System.nanoTime();
    watch.waits(now, context.canBlock() ? timed.delayNanos(now) : 0);
    int handled = super.run(timed);
    if (watch.isLate(System.nanoTime())) {
      // A wait that the system has interrupted ends without a look at the sockets, and one that
      // was stopped on its way back with an old one. What lies there is read now, while it is
      // known how long that may be.
      timed.blocks = false;
      handled += super.run(timed);
    }
    watch.ran(System.nanoTime(), timed.busy);
    return handled;
  }

  /** A wait rounded up to whole milliseconds; one without end stays so. */
  static long wholeMillis(long nanos) {
    if (nanos <= 0 || nanos > Long.MAX_VALUE - MILLI_NANOS) {
      return nanos;
    }
    return (nanos + MILLI_NANOS - 1) / MILLI_NANOS * MILLI_NANOS;
  }

  /** Learns how much of a run was work, and has the selector wait whole milliseconds. */
  private static final class Timed implements IoHandlerContext {
    private final IoHandlerContext inner;
    private boolean blocks = true;
    private long busy;

    Timed(IoHandlerContext inner) {
      this.inner = inner;
    }

    @Override
    public boolean canBlock() {
      return blocks && inner.canBlock();
    }

    @Override
    public long delayNanos(long now) {
      return blocks ? wholeMillis(inner.delayNanos(now)) : 0;
    }

    @Override
    public long deadlineNanos() {
      return inner.deadlineNanos();
    }

    @Override
    public void reportActiveIoTime(long nanos) {
      busy += nanos;
      if (inner.shouldReportActiveIoTime()) {
        inner.reportActiveIoTime(nanos);
      }
    }

    @Override
    public boolean shouldReportActiveIoTime() {
      return true;
    }
  }
}
