package beamspread.node;

import beamspread.loop.EventLoopMonitor;
import beamspread.maintenance.RequestCounters;
import beamspread.model.Request;
import beamspread.node.client.ClientHandler;
import beamspread.node.client.Requests;
import beamspread.node.variants.VariantTraffic;
import beamspread.node.wire.MetaCommand;
import beamspread.overload.ConcurrencyLimit;
import beamspread.overload.DeadlineReserve;
import beamspread.policy.Balancer;
import beamspread.variants.VariantKeys;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Takes the requests of clients in: how much of its time each has left, whether it may begin, and
 * when. All of it runs on the event loop.
 *
 * <p>A request that is read after the event loop has stalled may have lain in its socket for as
 * long. Its time is counted from the last look at the sockets, the bound that is known, and it
 * begins behind all that became due in the stall. What is too old, or more than a process that
 * stalls should have in progress, is refused at once: it was never sent on.
 */
final class RequestIntake implements Requests {
  /** With less time than this no attempt begins after a stall: hardly an answer comes so soon. */
  private static final long LEAST_WAIT_NANOS = 50_000_000L;

  private static final String BUSY = "SERVER_ERROR busy";

  private final EventLoop loop;
  private final OpenRequests open;
  private final DecisionEvents events;
  private final Balancer balancer;
  private final RequestMetrics metrics;
  private final Log log;
  private final long longestDeadlineNanos;
  private final DeadlineReserve reserve = new DeadlineReserve();
  private final ConcurrencyLimit limit = new ConcurrencyLimit();

  /** Requests' keys; null where they stay as they are. */
  private VariantTraffic variants;

  /** When this process gives its last answers, on the clock of {@link System#nanoTime()}. */
  private long endsAt;

  private boolean ends;

  RequestIntake(
      EventLoop loop,
      OpenRequests open,
      DecisionEvents events,
      Balancer balancer,
      RequestMetrics metrics,
      Log log,
      long longestDeadlineNanos) {
    this.loop = loop;
    this.open = open;
    this.events = events;
    this.balancer = balancer;
    this.metrics = metrics;
    this.log = log;
    this.longestDeadlineNanos = longestDeadlineNanos;
  }

  /** Keys are replaced by canonical ones from now on. */
  void use(VariantTraffic traffic) {
    variants = traffic;
  }

  /** The event loop has stalled for so long until now. */
  void stalled(long nanos) {
    long now = System.nanoTime();
    reserve.stalled(now, nanos);
    limit.stalled(now, nanos, open.unanswered());
  }

  /** What is taken from now on has to be answered by this time, whatever its deadline. */
  void endBy(long at) {
    endsAt = at;
    ends = true;
  }

  @Override
  public Taken request(MetaCommand command, ClientHandler.Slot slot, long unreadNanos) {
    long now = System.nanoTime();
    if (unreadNanos == 0) {
      return begin(command, slot, now, now);
    }
    Deferred deferred = new Deferred(command, slot, now - unreadNanos);
    // Timers run in the order of their times: this one behind all that became due before.
    loop.schedule(deferred, 0, TimeUnit.NANOSECONDS);
    return deferred;
  }

  /** A request that begins once all that is overdue has been dealt with. */
  private final class Deferred implements Taken, Runnable {
    private final MetaCommand command;
    private final ClientHandler.Slot slot;
    private final long sentAt;
    private Taken begun;
    private boolean clientGone;

    Deferred(MetaCommand command, ClientHandler.Slot slot, long sentAt) {
      this.command = command;
      this.slot = slot;
      this.sentAt = sentAt;
    }

    @Override
    public void run() {
      if (clientGone) {
        command.release();
        metrics.clientGone();
      } else {
        begun = begin(command, slot, sentAt, System.nanoTime());
      }
    }

    @Override
    public void clientGone() {
      clientGone = true;
      if (begun != null) {
        begun.clientGone();
      }
    }
  }

  /**
   * Lets a request begin, or refuses it.
   *
   * @param sentAt the earliest time at which its client can have sent it
   * @return null if it was answered at once
   */
  private Taken begin(MetaCommand command, ClientHandler.Slot slot, long sentAt, long now) {
    if (open.get(command.request.id()) != null) {
      command.release();
      slot.line("CLIENT_ERROR id in use");
      return null;
    }
    long wait = remaining(command.request, now, sentAt);
    boolean tooOld = now - sentAt >= EventLoopMonitor.PAUSE_NANOS && wait <= LEAST_WAIT_NANOS;
    if (tooOld || !limit.admits(now, open.unanswered())) {
      metrics.refusedEarly(command.request);
      command.release();
      slot.line(BUSY);
      return null;
    }
    wait -= reserve.nanos(now, wait);
    VariantKeys.Rewrite rewrite = variants == null ? null : variants.asks(command);
    boolean other = rewrite != null && !rewrite.key().equals(command.request.key());
    MetaCommand asked = other ? command.withKey(rewrite.key()) : command;
    OpenRequest request = new OpenRequest(asked, slot, sentAt, now + wait);
    request.rewrite = rewrite;
    return begin(request, wait);
  }

  /** How long the client of a request still waits; no client waits longer than the settings say. */
  private long remaining(Request request, long now, long sentAt) {
    long wait = Math.min(longestDeadlineNanos, (long) (request.budget() * 1e9));
    wait -= now - sentAt;
    if (ends) {
      wait = Math.min(wait, endsAt - now);
    }
    return Math.max(0, wait);
  }

  private Taken begin(OpenRequest request, long wait) {
    Request whole = request.command.request;
    long asked = (long) (whole.budget() * 1e9);
    Request known = wait < asked ? whole.within(wait / 1e9) : whole;
    open.add(request);
    metrics.taken(whole);
    events.tell(at -> tellModule(at, request, known));
    return () -> clientGone(request);
  }

  private void tellModule(double at, OpenRequest request, Request known) {
    try {
      balancer.request(at, known);
    } catch (RuntimeException | VirtualMachineError e) {
      report("decision module", e);
      open.fail(request);
    }
  }

  /** The client has closed its connection. */
  void clientGone(OpenRequest request) {
    if (request.ended) {
      return;
    }
    open.over(request);
    metrics.clientGone();
    events.tell(
        now -> {
          try {
            balancer.clientGone(now, request.id());
          } finally {
            open.settle(request);
          }
        });
  }

  @Override
  public void refused(String serviceClass) {
    metrics.replied(serviceClass, RequestCounters.Ending.OVERLOAD);
  }

  @Override
  public void report(String where, Throwable cause) {
    log.failure(where, cause);
  }
}
