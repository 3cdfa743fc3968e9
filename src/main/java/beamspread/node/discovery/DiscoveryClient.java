package beamspread.node.discovery;

import beamspread.model.ListEvidence;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;

/**
 * Asks discovery for the list of servers. Where the list must be asked for, a call is made only
 * when the module says so, and its failure is told; where it is pushed, a watch is kept up here.
 */
public final class DiscoveryClient {
  private static final String PATH = "/catalog/members";

  /** Pause before a call that is made again without being asked for. */
  private static final long RETRY_MILLIS = 200;

  /**
   * Least time from one watch to the next, whoever wants one and whatever the settings say. Guards
   * discovery, which is small and shared, against a node that has lost its measure.
   */
  private static final long LEAST_DISTANCE_NANOS = 200_000_000L;

  /** Is told what comes of the calls, on the event loop. */
  public interface Listener {
    /** A list, or changes of it, have come. */
    void list(MemberList list);

    /**
     * Something is known of discovery.
     *
     * @param at since when at the latest, on the clock of {@link System#nanoTime()}
     */
    void listEvidence(long at, ListEvidence evidence);

    /** A call has failed; it is made again here. */
    void listTrouble(CallFailure failure);

    /** A call that was asked for has failed. */
    void listFailed(CallFailure failure);
  }

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final boolean asked;
  private final Listener listener;
  private final LongUnaryOperator unreadNanos;
  private SocketAddress address;
  private long version;
  private long calls;

  /** When the list was last confirmed, or this client was made. */
  private long confirmedAt = System.nanoTime();

  /**
   * Whether the version may not be counted from, so that the whole list is asked for: after a move,
   * since two services need not number alike, and after nonsense.
   */
  private boolean anew;

  private DiscoveryCall watch;

  /** The one call beside the watch, for the whole list that the watch has not told. */
  private DiscoveryCall reading;

  private long followedAt = System.nanoTime() - LEAST_DISTANCE_NANOS;

  /** Whether a watch is to begin as soon as its distance from the last one allows. */
  private boolean due;

  /**
   * A client that has made no call yet.
   *
   * @param asked whether the list must be asked for
   * @param version the version of the list that is known
   * @param unreadNanos how long bytes that are read at a time can have lain unread at most
   */
  public DiscoveryClient(
      EventLoop loop,
      Bootstrap bootstrap,
      SocketAddress address,
      boolean asked,
      long version,
      LongUnaryOperator unreadNanos,
      Listener listener) {
    this.loop = loop;
    this.bootstrap = bootstrap;
    this.address = address;
    this.asked = asked;
    this.version = version;
    this.unreadNanos = unreadNanos;
    this.listener = listener;
  }

  /** Follows the changes from the version last seen on. */
  public void follow() {
    long early = followedAt + LEAST_DISTANCE_NANOS - System.nanoTime();
    if (early <= 0) {
      if (watch != null && watch.hasBegun()) {
        evidence(ListEvidence.REACHED);
      }
      stop();
      followedAt = System.nanoTime();
      watch = call(PATH + "?follow=1" + (anew ? "" : "&since=" + version), true, new WatchOwner());
    } else if (!due) {
      due = true;
      loop.schedule(this::followIfDue, early, TimeUnit.NANOSECONDS);
    }
  }

  private void followIfDue() {
    if (due) {
      due = false;
      follow();
    }
  }

  private DiscoveryCall call(String path, boolean follows, DiscoveryCall.Owner owner) {
    calls++;
    return new DiscoveryCall(
        loop, bootstrap, new DiscoveryCall.Query(calls, address, path, follows), owner);
  }

  /** Follows the service at another address from now on; until it answers, the list stays. */
  public void move(SocketAddress to) {
    // At once: what the old one still says must not pass for the new one's.
    stop();
    address = to;
    anew = true;
    evidence(ListEvidence.MOVED);
    follow();
  }

  /** Stops following. */
  public void stop() {
    due = false;
    if (watch != null) {
      watch.end();
      watch = null;
    }
    stopReading();
  }

  /** The version of the list that was told last. */
  public long version() {
    return version;
  }

  /** Calls that were made since the start. */
  public long calls() {
    return calls;
  }

  /** How long ago the list was last confirmed, in milliseconds. */
  public long confirmedMillis() {
    return (System.nanoTime() - confirmedAt) / 1_000_000;
  }

  /** All that there is to tell was told just now, or lay unread here for a while. */
  private void confirm() {
    long now = System.nanoTime();
    confirmedAt = now - unreadNanos.applyAsLong(now);
    listener.listEvidence(confirmedAt, ListEvidence.CONFIRMED);
  }

  private void evidence(ListEvidence evidence) {
    if (evidence != null) {
      listener.listEvidence(System.nanoTime(), evidence);
    }
  }

  private void stopReading() {
    if (reading != null) {
      reading.end();
      reading = null;
    }
  }

  /** Asks once for the whole list; a call for it that is out already is enough. */
  private void readOnce() {
    if (reading == null) {
      reading = call(PATH, false, new ReadingOwner());
    }
  }

  /** Asks for the whole list again, as long as it is missing and the watch that lacks it stands. */
  private void readAgain() {
    reading = null;
    DiscoveryCall since = watch;
    loop.schedule(
        () -> {
          if (anew && watch != null && watch == since) {
            readOnce();
          }
        },
        RETRY_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void take(MemberList list) {
    version = list.version();
    anew &= !list.full();
    listener.list(list);
  }

  private void followAgain() {
    if (watch == null) {
      follow();
    }
  }

  /** What comes of the watch. */
  private final class WatchOwner implements DiscoveryCall.Owner {
    @Override
    public void told(DiscoveryCall call, MemberList list) {
      boolean counted = version <= list.version();
      take(list);
      if (!list.full() && (anew || !counted)) {
        // It tells changes where the whole was asked for, or counts anew: what it leaves out may
        // have gone.
        anew = true;
        readOnce();
      }
    }

    @Override
    public void confirmed(DiscoveryCall call) {
      if (!anew) {
        confirm();
      }
    }

    @Override
    public void unreadable() {
      anew = true;
    }

    @Override
    public void failed(DiscoveryCall call, CallFailure failure) {
      if (call != watch) {
        return;
      }
      watch = null;
      stopReading();
      if (failure.broken() && call.inOrder() && !anew) {
        // It told all that there was until it ended.
        confirm();
      }
      evidence(failure.evidence(!asked));
      if (asked) {
        listener.listFailed(failure);
      } else {
        listener.listTrouble(failure);
        loop.schedule(DiscoveryClient.this::followAgain, RETRY_MILLIS, TimeUnit.MILLISECONDS);
      }
    }
  }

  /** What comes of the call for the whole list beside the watch. */
  private final class ReadingOwner implements DiscoveryCall.Owner {
    @Override
    public void told(DiscoveryCall call, MemberList list) {
      if (list.version() < version) {
        // Older than what the watch has told since: it would take servers back.
        readAgain();
        return;
      }
      reading = null;
      take(list);
      confirm();
    }

    @Override
    public void confirmed(DiscoveryCall call) {
      // Its one answer tells all.
    }

    @Override
    public void unreadable() {
      anew = true;
    }

    @Override
    public void failed(DiscoveryCall call, CallFailure failure) {
      if (call == reading) {
        // The watch stands and tells all changes: the list has not failed.
        evidence(ListEvidence.REACHED);
        listener.listTrouble(failure);
        readAgain();
      }
    }
  }
}
