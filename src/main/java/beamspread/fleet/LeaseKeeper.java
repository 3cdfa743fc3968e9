package beamspread.fleet;

import beamspread.lease.FencingToken;
import beamspread.lease.Lease;
import beamspread.lease.LeaseHeldException;
import beamspread.lease.LeaseHolder;
import beamspread.lease.LeaseStore;
import beamspread.lease.LeaseStoreException;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds a lease for as long as work lasts: takes it, renews it at a third of its duration, and
 * knows when it is over. Where the store can't be reached the lease ends by the holder's own clock,
 * before it can have expired at the store.
 */
public final class LeaseKeeper implements WorkLease, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger("lease");
  private static final long WAIT_MILLIS = 200;

  /** What to do where somebody else holds the lease. */
  public enum Otherwise {
    /** Say so and end. */
    REFUSE,
    /** Wait until it is given back or expires. */
    WAIT,
    /** Take it: the other owner stops at its next step, and is refused if it does not. */
    TAKE_OVER
  }

  private final LeaseStore store;
  private final String id = UUID.randomUUID().toString();
  private final long durationMillis;
  private final LeaseHolder holder;
  private final ScheduledExecutorService renewing =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "lease");
            thread.setDaemon(true);
            return thread;
          });

  private final AtomicLong renewals = new AtomicLong();
  private final AtomicLong failures = new AtomicLong();

  private LeaseKeeper(LeaseStore store, long durationNanos) {
    this.store = store;
    this.durationMillis = durationNanos / 1_000_000;
    this.holder = new LeaseHolder(durationNanos);
  }

  /**
   * Takes a lease and keeps it until it is closed.
   *
   * @param by who asks, for people
   * @param waits is told whom it waits for, once for each
   * @throws LeaseHeldException if somebody else holds it, and that is not to be waited for
   * @throws LeaseStoreException if the store can't be used: then nobody may begin
   */
  public static LeaseKeeper acquire(
      LeaseStore store,
      String name,
      String by,
      long durationNanos,
      Otherwise otherwise,
      Consumer<LeaseHeldException> waits)
      throws LeaseHeldException, LeaseStoreException, InterruptedException {
    LeaseKeeper keeper = new LeaseKeeper(store, durationNanos);
    try {
      keeper.take(name, by, otherwise, waits);
    } catch (LeaseHeldException | LeaseStoreException | InterruptedException | RuntimeException e) {
      keeper.renewing.shutdownNow();
      throw e;
    }
    long every = keeper.holder.renewalNanos();
    keeper.renewing.scheduleAtFixedRate(keeper::renew, every, every, TimeUnit.NANOSECONDS);
    return keeper;
  }

  private void take(String name, String by, Otherwise otherwise, Consumer<LeaseHeldException> waits)
      throws LeaseHeldException, LeaseStoreException, InterruptedException {
    long told = 0;
    while (true) {
      long askedAt = System.nanoTime();
      try {
        boolean takeOver = otherwise == Otherwise.TAKE_OVER;
        Lease lease = store.acquire(name, id, by, durationMillis, takeOver);
        if (!lease.holder().equals(id)) {
          throw new LeaseStoreException("leases: " + name + " was given to another holder", null);
        }
        synchronized (this) {
          holder.granted(lease.token(), askedAt);
        }
        log("acquired", lease.token());
        return;
      } catch (LeaseHeldException e) {
        if (otherwise != Otherwise.WAIT) {
          throw e;
        }
        if (told != e.lease().epoch()) {
          told = e.lease().epoch();
          waits.accept(e);
        }
        TimeUnit.MILLISECONDS.sleep(WAIT_MILLIS);
      }
    }
  }

  private void renew() {
    long askedAt = System.nanoTime();
    FencingToken token = token();
    try {
      boolean renewed = store.renew(token, id, durationMillis);
      synchronized (this) {
        if (renewed) {
          renewals.incrementAndGet();
          holder.renewed(askedAt, System.nanoTime());
        } else {
          holder.lost();
        }
      }
      if (!renewed) {
        log("lost", token);
        renewing.shutdown();
      }
    } catch (LeaseStoreException e) {
      failures.incrementAndGet();
      LOG.atWarn()
          .addKeyValue("lease", token.name())
          .addKeyValue("token", token.epoch())
          .log("not renewed: {}", e.getMessage());
    }
  }

  private void log(String what, FencingToken token) {
    LOG.atInfo()
        .addKeyValue("lease", token.name())
        .addKeyValue("token", token.epoch())
        .addKeyValue("renewals", renewals)
        .addKeyValue("failed_renewals", failures)
        .log("{}", what);
  }

  @Override
  public synchronized FencingToken token() {
    return holder.token();
  }

  @Override
  public synchronized boolean held() {
    return holder.holds(System.nanoTime());
  }

  /** Gives the lease back, if it is still held. */
  @Override
  public void close() {
    renewing.shutdownNow();
    FencingToken token = token();
    boolean held = held();
    synchronized (this) {
      holder.lost();
    }
    if (held) {
      try {
        store.release(token, id);
        log("released", token);
      } catch (LeaseStoreException e) {
        // It expires by itself.
      }
    }
  }
}
