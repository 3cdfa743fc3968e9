package beamspread.node;

import beamspread.policy.Balancer;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reports when the list of cache servers expires and when it is valid again, as determined by the
 * decision module. Runs on the event loop only.
 */
final class ListExpiry {
  private final EventLoop loop;
  private final Clock clock;
  private final Balancer balancer;
  private final Runnable onExpiry;
  private final Consumer<String> log;
  private double nextCheckAt = Double.POSITIVE_INFINITY;
  private boolean expired;
  private double expiredAt;
  private long expiries;

  /**
   * @param onExpiry runs each time the list expires
   */
  ListExpiry(
      EventLoop loop, Clock clock, Balancer balancer, Runnable onExpiry, Consumer<String> log) {
    this.loop = loop;
    this.clock = clock;
    this.balancer = balancer;
    this.onExpiry = onExpiry;
    this.log = log;
  }

  /**
   * Checks whether the list has expired. Call it after each event that may change its expiry, such
   * as a confirmation by discovery: the list may then expire later or sooner, or be valid again.
   */
  void check() {
    double now = clock.now();
    if (balancer.listExpired(now)) {
      expire(now);
    } else {
      if (expired) {
        log.accept(
            "the list of servers is valid again after %.0f ms".formatted((now - expiredAt) * 1e3));
      }
      expired = false;
      scheduleCheck(balancer.listExpiresAt(), now);
    }
  }

  private void expire(double now) {
    if (!expired) {
      expired = true;
      expiredAt = now;
      expiries++;
      log.accept(
          "the list of servers has expired: requests are refused until discovery confirms it");
      onExpiry.run();
    }
  }

  private void scheduleCheck(double at, double now) {
    if (at < nextCheckAt) {
      nextCheckAt = at;
      loop.schedule(this::onCheckDue, (long) ((at - now) * 1e9), TimeUnit.NANOSECONDS);
    }
  }

  private void onCheckDue() {
    nextCheckAt = Double.POSITIVE_INFINITY;
    check();
  }

  /** Returns whether the list is expired now. */
  boolean expired() {
    return expired;
  }

  /** Returns how often the list has expired since the start. */
  long expiries() {
    return expiries;
  }
}
