package beamspread.node;

import beamspread.loop.EventLoopMonitor;
import beamspread.maintenance.RequestCounters;
import beamspread.model.Hashes;
import beamspread.model.Request;
import beamspread.model.Settings;
import beamspread.node.client.ClientHandler;
import beamspread.node.client.RequestHandler;
import beamspread.node.handover.IdClaim;
import beamspread.node.handover.RequestIds;
import beamspread.node.variants.VariantRewriter;
import beamspread.node.wire.MetaCommand;
import beamspread.overload.ConcurrencyLimit;
import beamspread.overload.DeadlineReserve;
import beamspread.policy.Balancer;
import beamspread.variants.VariantKeys;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Accepts the requests of clients: determines how much time each has left, whether it may begin,
 * and when. Runs on the event loop only.
 *
 * <p>A request that is read after the event loop has stalled may have waited in its socket for the
 * whole stall. Its time is therefore counted from the last time the sockets were read, which is the
 * known bound, and it begins after all timers that became due during the stall. Requests that are
 * too old, or that exceed the concurrency limit of a process that stalls, are refused at once,
 * before any attempt is sent.
 */
final class RequestIntake implements RequestHandler {
  /**
   * With less time left than this no attempt begins after a stall: an answer is unlikely to arrive
   * in time.
   */
  private static final long MIN_WAIT_AFTER_STALL_NANOS = 50_000_000L;

  /** How long beyond its deadline an attempt that was sent may still take effect. */
  private static final long EFFECT_NANOS = 30_000_000_000L;

  private static final String BUSY_ANSWER = "SERVER_ERROR busy";

  private final EventLoop loop;
  private final OpenRequests openRequests;
  private final DecisionEvents events;
  private final Balancer balancer;
  private final RequestMetrics metrics;
  private final Log log;
  private final long longestDeadlineNanos;
  private final DeadlineReserve deadlineReserve = new DeadlineReserve();
  private final ConcurrencyLimit concurrencyLimit = new ConcurrencyLimit();
  private final AbandonedIds abandonedIds = new AbandonedIds();
  private final Set<String> repeatableClasses;
  private RequestIds requestIds = RequestIds.OF_ONE_PROCESS;

  /** Rewrites keys to canonical ones; null if keys are left as they are. */
  private VariantRewriter variantTraffic;

  /**
   * When this process must have answered all requests, on the clock of {@link System#nanoTime()}.
   */
  private long answerAllBy;

  private boolean ending;

  RequestIntake(
      EventLoop loop,
      OpenRequests openRequests,
      DecisionEvents events,
      Balancer balancer,
      RequestMetrics metrics,
      Log log,
      List<Settings.ServiceClass> services,
      long longestDeadlineNanos) {
    this.loop = loop;
    this.openRequests = openRequests;
    this.events = events;
    this.balancer = balancer;
    this.metrics = metrics;
    this.log = log;
    this.longestDeadlineNanos = longestDeadlineNanos;
    this.repeatableClasses =
        services.stream()
            .filter(service -> service.effect() == Settings.Effect.SAFE)
            .map(Settings.ServiceClass::name)
            .collect(Collectors.toUnmodifiableSet());
  }

  /** Claims the ids of requests where other processes of this node see them, from now on. */
  void shareIds(RequestIds shared) {
    requestIds = shared;
  }

  /** Replaces keys by canonical ones from now on. */
  void useVariants(VariantRewriter traffic) {
    variantTraffic = traffic;
  }

  /** Records that the event loop has stalled for the given time until now. */
  void onStall(long nanos) {
    long now = System.nanoTime();
    deadlineReserve.recordStall(now, nanos);
    concurrencyLimit.recordStall(now, nanos, openRequests.unanswered());
  }

  /** Requires every request from now on to be answered by this time, whatever its deadline. */
  void answerAllBy(long deadline) {
    answerAllBy = deadline;
    ending = true;
  }

  @Override
  public AcceptedRequest accept(
      MetaCommand command, ClientHandler.AnswerSlot slot, long unreadNanos) {
    long now = System.nanoTime();
    if (unreadNanos == 0) {
      return begin(command, slot, now, now);
    }
    DeferredRequest deferred = new DeferredRequest(command, slot, now - unreadNanos);
    // Timers run in order of their due times: this one follows all that became due earlier.
    loop.schedule(deferred, 0, TimeUnit.NANOSECONDS);
    return deferred;
  }

  /** A request that begins after all overdue timers have run. */
  private final class DeferredRequest implements AcceptedRequest, Runnable {
    private final MetaCommand command;
    private final ClientHandler.AnswerSlot slot;
    private final long earliestSentAt;
    private AcceptedRequest accepted;
    private boolean clientGone;
    private boolean refuseOnBegin;

    DeferredRequest(MetaCommand command, ClientHandler.AnswerSlot slot, long earliestSentAt) {
      this.command = command;
      this.slot = slot;
      this.earliestSentAt = earliestSentAt;
    }

    @Override
    public void run() {
      if (clientGone) {
        command.release();
        metrics.clientDisconnected();
      } else if (refuseOnBegin) {
        refuse(command, slot);
      } else {
        accepted = begin(command, slot, earliestSentAt, System.nanoTime());
      }
    }

    @Override
    public void clientGone() {
      clientGone = true;
      if (accepted != null) {
        accepted.clientGone();
      }
    }

    @Override
    public void clientRejected() {
      if (accepted != null) {
        accepted.clientRejected();
      } else {
        refuseOnBegin = true;
      }
    }

    @Override
    public boolean mayHaveRun() {
      return accepted != null && accepted.mayHaveRun();
    }
  }

  /**
   * Begins a request, or refuses it.
   *
   * @param earliestSentAt the earliest time at which the client can have sent it
   * @return null if it was answered at once
   */
  private AcceptedRequest begin(
      MetaCommand command, ClientHandler.AnswerSlot slot, long earliestSentAt, long now) {
    String id = command.request.id();
    if (openRequests.get(id) != null || abandonedIds.contains(id, now)) {
      refuseId(command, slot);
      return null;
    }
    long waitNanos = remainingNanos(command.request, now, earliestSentAt);
    boolean tooOld =
        now - earliestSentAt >= EventLoopMonitor.PAUSE_NANOS
            && waitNanos <= MIN_WAIT_AFTER_STALL_NANOS;
    if (tooOld || !concurrencyLimit.admits(now, openRequests.unanswered())) {
      refuse(command, slot);
      return null;
    }
    boolean repeatable = repeatableClasses.contains(command.request.serviceClass());
    IdClaim claim =
        requestIds.claim(Hashes.of(id), waitNanos + (repeatable ? 0 : EFFECT_NANOS), repeatable);
    if (claim.outcome() == IdClaim.Outcome.IN_USE) {
      refuseId(command, slot);
      return null;
    }
    if (claim.outcome() == IdClaim.Outcome.NO_ROOM && !repeatable) {
      refuse(command, slot);
      return null;
    }
    waitNanos -= deadlineReserve.reserveNanos(now, waitNanos);
    VariantKeys.Rewrite rewrite = variantTraffic == null ? null : variantTraffic.rewrite(command);
    boolean keyReplaced = rewrite != null && !rewrite.key().equals(command.request.key());
    MetaCommand forwarded = keyReplaced ? command.withKey(rewrite.key()) : command;
    OpenRequest request = new OpenRequest(forwarded, slot, earliestSentAt, now + waitNanos);
    request.keyRewrite = rewrite;
    request.idClaim = claim;
    return begin(request, waitNanos);
  }

  /** Refuses a request whose id another one has. */
  private static void refuseId(MetaCommand command, ClientHandler.AnswerSlot slot) {
    command.release();
    slot.answerLine("CLIENT_ERROR id in use");
  }

  /** Refuses a request before it begins. */
  private void refuse(MetaCommand command, ClientHandler.AnswerSlot slot) {
    metrics.refusedEarly(command.request);
    command.release();
    slot.answerLine(BUSY_ANSWER);
  }

  /**
   * Returns the nanoseconds until the client's deadline, at most the longest deadline of the
   * settings.
   */
  private long remainingNanos(Request request, long now, long earliestSentAt) {
    long waitNanos = Math.min(longestDeadlineNanos, (long) (request.budget() * 1e9));
    waitNanos -= now - earliestSentAt;
    if (ending) {
      waitNanos = Math.min(waitNanos, answerAllBy - now);
    }
    return Math.max(0, waitNanos);
  }

  private AcceptedRequest begin(OpenRequest request, long waitNanos) {
    Request received = request.command.request;
    long budgetNanos = (long) (received.budget() * 1e9);
    Request adjusted = waitNanos < budgetNanos ? received.withBudget(waitNanos / 1e9) : received;
    openRequests.add(request);
    request.slot.setDeadline(request.deadlineNanos);
    metrics.received(received);
    events.post(at -> passToModule(at, request, adjusted));
    return new AcceptedRequest() {
      @Override
      public void clientGone() {
        RequestIntake.this.clientGone(request);
      }

      @Override
      public void clientRejected() {
        RequestIntake.this.clientRejected(request);
      }

      @Override
      public boolean mayHaveRun() {
        return request.mayHaveRun();
      }
    };
  }

  private void passToModule(double now, OpenRequest request, Request adjusted) {
    try {
      balancer.onRequest(now, adjusted);
    } catch (RuntimeException | VirtualMachineError e) {
      reportError("decision module", e);
      openRequests.fail(request);
    }
  }

  /** Handles the close of the client's connection. */
  void clientGone(OpenRequest request) {
    if (request.ended) {
      return;
    }
    if (request.mayHaveTakenEffect()) {
      abandonedIds.add(request.id(), System.nanoTime(), request.deadlineNanos + EFFECT_NANOS);
      request.keepsId = true;
    }
    openRequests.markEnded(request);
    metrics.clientDisconnected();
    endInModule(request);
  }

  /**
   * Refuses a request of a rejected client if no attempt of it can have run; otherwise it waits for
   * its attempts, and gets no others.
   */
  void clientRejected(OpenRequest request) {
    if (request.ended) {
      return;
    }
    if (request.mayHaveRun()) {
      events.post(now -> balancer.onNoFurtherAttempts(request.id()));
      return;
    }
    openRequests.answer(request, RequestCounters.Ending.OVERLOAD, BUSY_ANSWER);
    endInModule(request);
  }

  /** Has the decision module forget a request that has ended here, and cancel its attempts. */
  private void endInModule(OpenRequest request) {
    events.post(
        now -> {
          try {
            balancer.onClientGone(now, request.id());
          } finally {
            openRequests.removeIfComplete(request);
          }
        });
  }

  @Override
  public void requestRefused(String serviceClass) {
    metrics.replied(serviceClass, RequestCounters.Ending.OVERLOAD);
  }

  @Override
  public void connectionClosed(String description) {
    log.info(description);
  }

  @Override
  public void reportError(String where, Throwable cause) {
    log.error(where, cause);
  }
}
