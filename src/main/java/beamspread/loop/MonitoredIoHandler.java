package beamspread.loop;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;

/**
 * An event loop's I/O handler that reports waits and work to a monitor.
 *
 * <p>The selector waits whole milliseconds. With a timer due in less than half a millisecond it
 * would not wait at all: the loop would poll its sockets until the timer is due and use processor
 * time, half of it in the kernel. Each wait is therefore rounded up to whole milliseconds, so that
 * timers fire up to one millisecond later.
 */
public final class MonitoredIoHandler extends ForwardingIoHandler {
  private static final long MILLI_NANOS = 1_000_000L;

  private final EventLoopMonitor monitor;

  private MonitoredIoHandler(IoHandler delegate, EventLoopMonitor monitor) {
    super(delegate);
    this.monitor = monitor;
  }

  /** Returns a factory for the one loop that this monitor belongs to. */
  public static IoHandlerFactory factory(IoHandlerFactory delegate, EventLoopMonitor monitor) {
    return executor -> new MonitoredIoHandler(delegate.newHandler(executor), monitor);
  }

  @Override
  public int run(IoHandlerContext context) {
    TimingContext timingContext = new TimingContext(context);
    long now = System.nanoTime();
    monitor.waitBegins(now, context.canBlock() ? timingContext.delayNanos(now) : 0);
    int handled = super.run(timingContext);
    if (monitor.isWakeUpLate(System.nanoTime())) {
      // A wait that was interrupted ends without a poll of the sockets, and one that was suspended
      // while it returned has an outdated result. The sockets are polled now, while it is known how
      // long their data may have waited.
      timingContext.blockingAllowed = false;
      handled += super.run(timingContext);
    }
    monitor.socketsHandled(System.nanoTime(), timingContext.busyNanos);
    return handled;
  }

  /** Rounds a wait up to whole milliseconds; an unlimited one stays so. */
  static long roundUpToMillis(long nanos) {
    if (nanos <= 0 || nanos > Long.MAX_VALUE - MILLI_NANOS) {
      return nanos;
    }
    return (nanos + MILLI_NANOS - 1) / MILLI_NANOS * MILLI_NANOS;
  }

  /** Measures how much of a run was work, and rounds the selector's waits to whole milliseconds. */
  private static final class TimingContext implements IoHandlerContext {
    private final IoHandlerContext delegate;
    private boolean blockingAllowed = true;
    private long busyNanos;

    TimingContext(IoHandlerContext delegate) {
      this.delegate = delegate;
    }

    @Override
    public boolean canBlock() {
      return blockingAllowed && delegate.canBlock();
    }

    @Override
    public long delayNanos(long now) {
      return blockingAllowed ? roundUpToMillis(delegate.delayNanos(now)) : 0;
    }

    @Override
    public long deadlineNanos() {
      return delegate.deadlineNanos();
    }

    @Override
    public void reportActiveIoTime(long nanos) {
      busyNanos += nanos;
      if (delegate.shouldReportActiveIoTime()) {
        delegate.reportActiveIoTime(nanos);
      }
    }

    @Override
    public boolean shouldReportActiveIoTime() {
      return true;
    }
  }
}
