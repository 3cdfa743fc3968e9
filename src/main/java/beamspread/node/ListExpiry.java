package beamspread.node;

import beamspread.policy.Balancer;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Notices when the list of cache servers expires and when it is confirmed again. Whether it has
 * expired is the decision module's to say. All of it runs on the event loop.
 */
final class ListExpiry {
  private final EventLoop loop;
  private final Clock clock;
  private final Balancer balancer;
  private final Runnable onExpiry;
  private final Consumer<String> log;
  private double nextLookAt = Double.POSITIVE_INFINITY;
  private boolean expired;
  private double expiredAt;
  private long expiries;

  /**
   * @param onExpiry is run each time the list has expired
   */
  ListExpiry(
      EventLoop loop, Clock clock, Balancer balancer, Runnable onExpiry, Consumer<String> log) {
    this.loop = loop;
    this.clock = clock;
    this.balancer = balancer;
    this.onExpiry = onExpiry;
    this.log = log;
  }

  /** Something new is known of the list: it may expire later, sooner, or be good again. */
  void look() {
    double now = clock.now();
    if (balancer.listExpired(now)) {
      expire(now);
    } else {
      if (expired) {
        log.accept(
            "the list of servers is good again after %.0f ms".formatted((now - expiredAt) * 1e3));
      }
      expired = false;
      lookAt(balancer.listExpiresAt(), now);
    }
  }

  private void expire(double now) {
    if (!expired) {
      expired = true;
      expiredAt = now;
      expiries++;
      log.accept("the list of servers has expired: requests are refused until discovery tells it");
      onExpiry.run();
    }
  }

  private void lookAt(double at, double now) {
    if (at < nextLookAt) {
      nextLookAt = at;
      loop.schedule(this::due, (long) ((at - now) * 1e9), TimeUnit.NANOSECONDS);
    }
  }

  private void due() {
    nextLookAt = Double.POSITIVE_INFINITY;
    look();
  }

  /** Whether it has expired. */
  boolean expired() {
    return expired;
  }

  /** How often it has expired since the start. */
  long expiries() {
    return expiries;
  }
}
