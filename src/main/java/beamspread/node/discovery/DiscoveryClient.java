package beamspread.node.discovery;

import beamspread.model.ListEvidence;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;

/**
 * Gets the list of cache servers from discovery. On demand, a call is made only when the decision
 * module requests it, and its failure is reported to the module. If discovery pushes the list, this
 * client keeps a watch open by itself.
 */
public final class DiscoveryClient {
  private static final String PATH = "/catalog/members";

  /** Delay before a failed call that this client retries by itself. */
  private static final long RETRY_DELAY_MILLIS = 200;

  /**
   * Minimum time between the starts of two watches, regardless of who requests them and of the
   * settings. Protects discovery, a small shared service, from a node that calls in a tight loop.
   */
  private static final long MIN_WATCH_INTERVAL_NANOS = 200_000_000L;

  /** Receives the results of the calls, on the event loop. */
  public interface Listener {
    /** Called with each full list or change. */
    void listReceived(MemberList list);

    /**
     * Called when the state of discovery or of the list becomes known.
     *
     * @param atNanos the latest time at which this became true, as of {@link System#nanoTime()}
     */
    void evidenceObserved(long atNanos, ListEvidence evidence);

    /** Called when a call has failed that this client retries by itself. */
    void automaticCallFailed(CallFailure failure);

    /** Called when a watch has failed that the decision module requested. */
    void requestedCallFailed(CallFailure failure);
  }

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final boolean onDemand;
  private final Listener listener;
  private final LongUnaryOperator maxUnreadNanos;
  private SocketAddress address;
  private long version;
  private long callCount;

  /** When the list was last confirmed; initially the time of construction. */
  private long confirmedNanos = System.nanoTime();

  /**
   * Whether the full list has to be requested, not the changes since the known version: after a
   * move to another address, since two services may number versions differently, and after
   * malformed input.
   */
  private boolean needsFullList;

  private DiscoveryCall watch;

  /** The call for the full list beside the watch, if the watch did not send it; null for none. */
  private DiscoveryCall fullListCall;

  private long lastWatchNanos = System.nanoTime() - MIN_WATCH_INTERVAL_NANOS;

  /** Whether a watch is scheduled to start once the minimum interval has passed. */
  private boolean watchScheduled;

  /**
   * Creates a client that makes no call yet.
   *
   * @param onDemand whether watches are started on demand only
   * @param version the version of the list that is known
   * @param maxUnreadNanos returns, for the time of a read, how long the bytes read then can have
   *     been unread at most
   */
  public DiscoveryClient(
      EventLoop loop,
      Bootstrap bootstrap,
      SocketAddress address,
      boolean onDemand,
      long version,
      LongUnaryOperator maxUnreadNanos,
      Listener listener) {
    this.loop = loop;
    this.bootstrap = bootstrap;
    this.address = address;
    this.onDemand = onDemand;
    this.version = version;
    this.maxUnreadNanos = maxUnreadNanos;
    this.listener = listener;
  }

  /** Starts a watch for changes since the known version, in place of the current one. */
  public void startWatch() {
    long remainingNanos = lastWatchNanos + MIN_WATCH_INTERVAL_NANOS - System.nanoTime();
    if (remainingNanos <= 0) {
      if (watch != null && watch.isReceivingFirstList()) {
        reportEvidence(ListEvidence.REACHED);
      }
      stop();
      lastWatchNanos = System.nanoTime();
      watch =
          startCall(
              PATH + "?follow=1" + (needsFullList ? "" : "&since=" + version),
              true,
              new WatchListener());
    } else if (!watchScheduled) {
      watchScheduled = true;
      loop.schedule(this::startScheduledWatch, remainingNanos, TimeUnit.NANOSECONDS);
    }
  }

  private void startScheduledWatch() {
    if (watchScheduled) {
      watchScheduled = false;
      startWatch();
    }
  }

  private DiscoveryCall startCall(String path, boolean watch, DiscoveryCall.Listener listener) {
    callCount++;
    return new DiscoveryCall(
        loop, bootstrap, new DiscoveryCall.Query(callCount, address, path, watch), listener);
  }

  /** Switches to discovery at another address; the list stays until that service answers. */
  public void moveTo(SocketAddress newAddress) {
    // Ended at once, so that no answer of the old service is taken for one of the new service.
    stop();
    address = newAddress;
    needsFullList = true;
    reportEvidence(ListEvidence.MOVED);
    startWatch();
  }

  /** Ends all calls. */
  public void stop() {
    watchScheduled = false;
    if (watch != null) {
      watch.cancel();
      watch = null;
    }
    cancelFullListCall();
  }

  /** Returns the version of the last list or change. */
  public long version() {
    return version;
  }

  /** Returns the number of calls since the start. */
  public long callCount() {
    return callCount;
  }

  /** Returns the time since the list was last confirmed, in milliseconds. */
  public long millisSinceConfirmed() {
    return (System.nanoTime() - confirmedNanos) / 1_000_000;
  }

  /** Reports the list as confirmed at the earliest time at which the bytes just read arrived. */
  private void reportConfirmed() {
    long now = System.nanoTime();
    confirmedNanos = now - maxUnreadNanos.applyAsLong(now);
    listener.evidenceObserved(confirmedNanos, ListEvidence.CONFIRMED);
  }

  private void reportEvidence(ListEvidence evidence) {
    if (evidence != null) {
      listener.evidenceObserved(System.nanoTime(), evidence);
    }
  }

  private void cancelFullListCall() {
    if (fullListCall != null) {
      fullListCall.cancel();
      fullListCall = null;
    }
  }

  /** Requests the full list once, unless a call for it is in flight. */
  private void requestFullList() {
    if (fullListCall == null) {
      fullListCall = startCall(PATH, false, new FullListListener());
    }
  }

  /** Retries the call for the full list if it is still missing and the same watch is open. */
  private void retryFullList() {
    fullListCall = null;
    DiscoveryCall watchAtFailure = watch;
    loop.schedule(
        () -> {
          if (needsFullList && watch != null && watch == watchAtFailure) {
            requestFullList();
          }
        },
        RETRY_DELAY_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void apply(MemberList list) {
    version = list.version();
    needsFullList &= !list.full();
    listener.listReceived(list);
  }

  private void restartWatch() {
    if (watch == null) {
      startWatch();
    }
  }

  /** Handles the results of the watch. */
  private final class WatchListener implements DiscoveryCall.Listener {
    @Override
    public void listReceived(DiscoveryCall call, MemberList list) {
      boolean versionIncreased = version <= list.version();
      apply(list);
      if (!list.full() && (needsFullList || !versionIncreased)) {
        // A change where the full list was requested, or a lower version after a restart of
        // discovery: servers that it does not mention may have left.
        needsFullList = true;
        requestFullList();
      }
    }

    @Override
    public void listConfirmed(DiscoveryCall call) {
      if (!needsFullList) {
        reportConfirmed();
      }
    }

    @Override
    public void listMalformed() {
      needsFullList = true;
    }

    @Override
    public void callFailed(DiscoveryCall call, CallFailure failure) {
      if (call != watch) {
        return;
      }
      watch = null;
      cancelFullListCall();
      // The end confirms nothing: a change may have been made since the last data of the watch.
      reportEvidence(failure.evidence(!onDemand));
      if (onDemand) {
        listener.requestedCallFailed(failure);
      } else {
        listener.automaticCallFailed(failure);
        loop.schedule(
            DiscoveryClient.this::restartWatch, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
      }
    }
  }

  /** Handles the result of the call for the full list beside the watch. */
  private final class FullListListener implements DiscoveryCall.Listener {
    @Override
    public void listReceived(DiscoveryCall call, MemberList list) {
      if (list.version() < version) {
        // Older than the last change on the watch: it would restore servers that have left.
        retryFullList();
        return;
      }
      fullListCall = null;
      apply(list);
      reportConfirmed();
    }

    @Override
    public void listConfirmed(DiscoveryCall call) {
      // Only watches send heartbeats.
    }

    @Override
    public void listMalformed() {
      needsFullList = true;
    }

    @Override
    public void callFailed(DiscoveryCall call, CallFailure failure) {
      if (call == fullListCall) {
        // The watch is open and sends all changes, so getting the list has not failed.
        reportEvidence(ListEvidence.REACHED);
        listener.automaticCallFailed(failure);
        retryFullList();
      }
    }
  }
}
