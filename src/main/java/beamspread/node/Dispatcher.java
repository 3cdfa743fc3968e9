package beamspread.node;

import beamspread.maintenance.RequestCounters;
import beamspread.maintenance.Tally;
import beamspread.model.Learnt;
import beamspread.model.ListEvidence;
import beamspread.model.LoadReport;
import beamspread.model.MembershipUpdate;
import beamspread.model.Outcome;
import beamspread.model.Settings;
import beamspread.node.discovery.CallFailure;
import beamspread.node.discovery.DiscoveryClient;
import beamspread.node.discovery.ListLog;
import beamspread.node.discovery.ListStatus;
import beamspread.node.discovery.MemberList;
import beamspread.node.handover.LearntNote;
import beamspread.node.relay.ValueRelays;
import beamspread.node.server.Attempt;
import beamspread.node.server.AttemptListener;
import beamspread.node.server.ServerPools;
import beamspread.node.server.ValueSink;
import beamspread.node.server.ValueSource;
import beamspread.node.variants.VariantTraffic;
import beamspread.node.wire.MetaReply;
import beamspread.policy.Actions;
import beamspread.policy.Balancer;
import beamspread.policy.UnservedCause;
import beamspread.pool.PoolSettings;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongUnaryOperator;

/**
 * Stands between the decision module and the sockets: carries out what it decides, and tells it
 * what comes of attempts. All of it runs on the event loop.
 */
final class Dispatcher implements Actions, AttemptListener, DiscoveryClient.Listener {
  /**
   * The node stops waiting for an attempt this long before the client stops waiting for the node,
   * so that the module hears of the time-out before it must answer, and the answer is in time.
   */
  private static final long ANSWER_MARGIN_NANOS = 2_000_000;

  /** The part of the time for a connect that the way of one command takes: a third is one trip. */
  private static final int WAY_PART = 3;

  /** How often requests are looked through for overdue ones after the module has failed. */
  private static final long RESCUE_MILLIS = 10;

  private final Clock clock = new Clock();
  private final EventLoop loop;
  private final Settings settings;
  private final Log log;
  private final Balancer balancer;
  private final ServerPools pools;
  private final ValueRelays relays;
  private final Targets targets;
  private final DiscoveryClient discovery;
  private final ListLog listLog;
  private final ListExpiry expiry;
  private final RequestMetrics metrics;
  private final OpenRequests open;
  private final DecisionEvents events;
  private final RequestIntake intake;
  private final WakeTimers timers;
  private final Map<String, Settings.ServiceClass> types = new HashMap<>();
  private final long longestDeadlineNanos;
  private NodeConfig config;
  private VariantTraffic variants;
  private int heldByOthers;
  private boolean rescuing;
  private long rescueUntil;

  Dispatcher(
      NodeConfig config,
      EventLoop loop,
      Bootstrap bootstrap,
      PoolSettings poolSettings,
      long stuckNanos,
      ValueRelays relays,
      LongUnaryOperator unreadNanos,
      Log log) {
    this.loop = loop;
    this.relays = relays;
    this.config = config;
    this.longestDeadlineNanos = (long) (config.longestDeadline() * 1e9);
    this.settings = config.settings();
    this.log = log;
    this.pools =
        new ServerPools(
            loop,
            bootstrap,
            poolSettings,
            stuckNanos,
            new SplittableRandom(config.seed())::nextDouble,
            this);
    for (Settings.ServiceClass service : settings.services()) {
      types.put(service.name(), service);
    }
    this.metrics = new RequestMetrics(settings.services());
    this.open = new OpenRequests(metrics);
    this.events = new DecisionEvents(clock, this::moduleFailed);
    this.timers = new WakeTimers(loop, this::wakeDue);
    this.listLog = new ListLog(log::line);
    this.balancer = new Balancer(settings, config.seed(), this);
    this.expiry = new ListExpiry(loop, clock, balancer, this::listExpired, log::line);
    this.intake =
        new RequestIntake(loop, open, events, balancer, metrics, log, longestDeadlineNanos);
    this.targets =
        new Targets(pools, clock, update -> events.tell(now -> balancer.membership(now, update)));
    this.discovery =
        new DiscoveryClient(
            loop,
            bootstrap,
            config.discovery(),
            settings.asksForList(),
            config.known().version(),
            unreadNanos,
            this);
  }

  /**
   * Begins to write what is done in each second to the log.
   *
   * @param clients how many connections of clients there are
   */
  void tally(IntSupplier clients) {
    Tally tally = metrics.beginTally();
    loop.scheduleAtFixedRate(
        () -> log.line(tally.nextLine(System.currentTimeMillis(), gauges(clients))),
        1,
        1,
        TimeUnit.SECONDS);
  }

  private Tally.Gauges gauges(IntSupplier clients) {
    return new Tally.Gauges(
        open.unanswered(),
        open.attempts(),
        clients.getAsInt(),
        pools.socketCount(),
        pools.opened(),
        pools.failedOpens());
  }

  /** Tells the module the list as it was last known, and begins to follow it. */
  void start(MemberList known) {
    listEvidence(System.nanoTime(), ListEvidence.STARTED);
    targets.list(known, MembershipUpdate.Kind.REMEMBERED);
    if (!settings.asksForList()) {
      discovery.follow();
    }
  }

  /**
   * Takes over what may change while the node runs: where discovery is. What the module was built
   * from stays as it is until the next start, since it holds promises made by the old figures.
   */
  void reload(NodeConfig changed) {
    if (!changed.discovery().equals(config.discovery())) {
      log.line("discovery moves to " + changed.discovery());
      discovery.move(changed.discovery());
    }
    pools.applySettings(changed.pool().withoutSockets(heldByOthers));
    if (changed.needsRestart(config)) {
      log.line("new settings, limits or listening address: taken over at the next start");
    }
    config = changed;
  }

  /**
   * This process ends soon: whatever is open by then is answered, however long its client would
   * still wait, since nothing else ever answers it.
   *
   * @param at on the clock of {@link System#nanoTime()}
   */
  void endBy(long at) {
    intake.endBy(at);
    loop.schedule(open::failAll, at - System.nanoTime(), TimeUnit.NANOSECONDS);
  }

  /**
   * Leaves other processes of this node what they hold: sockets to cache servers, and open
   * requests, since clients have connections for so many together. A third stays, lest nothing be
   * taken here.
   */
  void share(int sockets, int openRequests) {
    balancer.share(Math.min(openRequests, settings.limits().maxOpen() / 3 * 2));
    if (sockets != heldByOthers) {
      heldByOthers = sockets;
      pools.applySettings(config.pool().withoutSockets(sockets));
    }
  }

  private void moduleFailed(Throwable cause) {
    report("decision module", cause);
    rescue();
  }

  /**
   * Guards against an exception in the module that makes it forget a request: for as long as one
   * that was open then can last, what the module has not answered in time is answered here.
   */
  private void rescue() {
    rescueUntil = System.nanoTime() + longestDeadlineNanos + 1_000_000_000L;
    if (!rescuing) {
      rescuing = true;
      loop.schedule(this::rescueOverdue, RESCUE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void rescueOverdue() {
    long now = System.nanoTime();
    open.failOverdue(now);
    rescuing = now - rescueUntil < 0;
    if (rescuing) {
      loop.schedule(this::rescueOverdue, RESCUE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  ServerPools pools() {
    return pools;
  }

  /** Where the requests of clients go. */
  RequestIntake intake() {
    return intake;
  }

  /** What a successor had better know, null if too little is learnt yet. */
  byte[] learnt() {
    double now = clock.now();
    return LearntNote.write(now, balancer.learnt(now));
  }

  /** Takes over a predecessor's note once the list is known; whether it was a good one. */
  boolean inherit(byte[] note) {
    Learnt learnt = LearntNote.read(clock.now(), note);
    if (learnt != null) {
      balancer.inherit(learnt);
    }
    return learnt != null;
  }

  Targets targets() {
    return targets;
  }

  ListStatus listStatus() {
    return new ListStatus(
        discovery.version(),
        discovery.confirmedMillis(),
        expiry.expired(),
        expiry.expiries(),
        discovery.calls(),
        listLog.failures());
  }

  /** How many requests were answered here, and by no cache server, for each cause. */
  Map<UnservedCause, Long> unserved() {
    return balancer.unserved();
  }

  RequestCounters figures() {
    return metrics.figures();
  }

  int openRequests() {
    return open.count();
  }

  /** Requests that are taken and have no final answer, or not all of it. */
  int unanswered() {
    return open.unanswered() + relays.passing();
  }

  @Override
  public void report(String where, Throwable cause) {
    log.failure(where, cause);
  }

  // What cache servers do.

  @Override
  public void attemptEnded(Attempt attempt, Outcome.Result result) {
    ended((RequestAttempt) attempt, result, Outcome.Note.NONE, null);
  }

  private void ended(
      RequestAttempt attempt, Outcome.Result result, Outcome.Note note, LoadReport load) {
    if (!attempt.settle()) {
      return;
    }
    if (attempt.timeout != null) {
      attempt.timeout.cancel(false);
    }
    attempt.mayHaveRun = !result.provesNotRun();
    OpenRequest request = attempt.request;
    double elapsed = (System.nanoTime() - attempt.sentAt) / 1e9;
    events.tell(
        now -> {
          request.out--;
          Outcome outcome =
              new Outcome(
                  request.id(),
                  attempt.number,
                  attempt.server,
                  result,
                  elapsed,
                  request.ended,
                  note,
                  load);
          metrics.attemptEnded(outcome, request.command.request);
          try {
            balancer.outcome(now, outcome);
          } finally {
            open.settle(request);
          }
        });
  }

  /**
   * Looks at the client's socket, and at the list's age, before an attempt begins. What else is
   * found there is told to the module afterwards: it may be deciding just now, and the pools are.
   */
  @Override
  public boolean isWanted(Attempt attempt) {
    OpenRequest request = ((RequestAttempt) attempt).request;
    if (!request.ended && events.collect(() -> lookForClient(request))) {
      loop.execute(events::tellWaiting);
    }
    return !request.ended && !balancer.listExpired(clock.now());
  }

  private void lookForClient(OpenRequest request) {
    if (request.slot.clientLeft()) {
      intake.clientGone(request);
    }
  }

  @Override
  public void attemptWritten(Attempt attempt) {
    metrics.attemptWritten();
  }

  /** A reply has come; it is dropped where the module has been told another end. */
  @Override
  public void replyReceived(Attempt answered, MetaReply reply) {
    RequestAttempt attempt = (RequestAttempt) answered;
    OpenRequest request = attempt.request;
    if (reply.result() == Outcome.Result.OK && !request.ended && !attempt.isSettled()) {
      open.over(request);
      metrics.served(request);
      metrics.replied(request.command.request.serviceClass(), RequestCounters.Ending.SUCCESS);
      if (request.rewrite != null && reply.value() != null) {
        variants.answered(request.rewrite, reply.value());
      }
      request.slot.answer(reply.encodeForClient(request.slot.alloc()));
    }
    ended(attempt, reply.result(), reply.note(), reply.loadReport());
  }

  @Override
  public ValueSink valueStarted(Attempt answered, MetaReply head, ValueSource source) {
    RequestAttempt attempt = (RequestAttempt) answered;
    OpenRequest request = attempt.request;
    ValueSink sink = null;
    if (!request.ended && !attempt.isSettled()) {
      open.over(request);
      metrics.served(request);
      String type = request.command.request.serviceClass();
      sink =
          relays.begin(
              head,
              source,
              request.slot,
              whole ->
                  metrics.replied(
                      type, whole ? RequestCounters.Ending.SUCCESS : RequestCounters.Ending.ERROR));
    }
    // For the module the server has answered: when its first bytes came is what tells of it.
    ended(attempt, head.result(), head.note(), head.loadReport());
    return request.rewrite == null ? sink : variants.passing(request.rewrite, sink);
  }

  /** Keys are replaced by canonical ones from now on. */
  void use(VariantTraffic traffic) {
    variants = traffic;
    intake.use(traffic);
  }

  // What discovery says.

  @Override
  public void list(MemberList list) {
    list.faults().forEach(listLog::fault);
    listLog.told(list);
    targets.list(list, list.full() ? MembershipUpdate.Kind.FULL : MembershipUpdate.Kind.CHANGES);
  }

  @Override
  public void listEvidence(long at, ListEvidence evidence) {
    events.tell(
        now -> {
          balancer.listEvidence(clock.at(at), evidence);
          expiry.look();
        });
  }

  /** Nothing goes out by the list any more, also of what was decided before. */
  private void listExpired() {
    events.tell(balancer::answerHeld);
    open.unsentAttempts().forEach(attempt -> withdraw(attempt, Outcome.Result.MOOT));
  }

  @Override
  public void listTrouble(CallFailure failure) {
    listLog.failed(failure);
  }

  @Override
  public void listFailed(CallFailure failure) {
    listLog.failed(failure);
    MembershipUpdate.Kind kind =
        failure.kind() == CallFailure.Kind.STATUS
            ? MembershipUpdate.Kind.OVERLOADED
            : MembershipUpdate.Kind.FAILED;
    events.tell(now -> balancer.membership(now, new MembershipUpdate(kind, 0, List.of())));
  }

  // What the module decides.

  @Override
  public void send(String requestId, long server, double timeout) {
    OpenRequest request = open.get(requestId);
    if (request == null) {
      log.line("send for unknown request " + requestId);
      return;
    }
    long now = System.nanoTime();
    long latest = request.deadlineNanos - ANSWER_MARGIN_NANOS;
    long deadline = timeout == 0 ? latest : Math.min(latest, now + (long) (timeout * 1e9));
    RequestAttempt attempt =
        new RequestAttempt(
            request,
            request.attempts.size(),
            server,
            deadline,
            type(request).effect() != Settings.Effect.SAFE,
            repeatableUntil(request));
    request.attempts.add(attempt);
    request.out++;
    metrics.attemptBegins(attempt);
    if (request.ended || attempt.number >= settings.limits().maxAttempts() || latest - now <= 0) {
      attemptEnded(attempt, Outcome.Result.MOOT);
      return;
    }
    attempt.timeout =
        loop.schedule(() -> timeOut(attempt), Math.max(0, deadline - now), TimeUnit.NANOSECONDS);
    pools.send(attempt);
  }

  private Settings.ServiceClass type(OpenRequest request) {
    return types.get(request.command.request.serviceClass());
  }

  /**
   * Until when one more attempt of a request may begin. Guards against an effect carried out twice:
   * the module reckons with the time that a connection takes to come up, but an attempt may wait
   * for one for longer, and by then servers have forgotten the first.
   */
  private long repeatableUntil(OpenRequest request) {
    Settings.ServiceClass type = type(request);
    if (type.effect() != Settings.Effect.KEYED) {
      return RequestAttempt.ANY_TIME;
    }
    for (RequestAttempt earlier : request.attempts) {
      if (earlier.mayHaveRun) {
        double window = type.repeatWindow() - settings.limits().connectTimeout() / WAY_PART;
        return earlier.sentAt + (long) (Math.max(0, window) * 1e9);
      }
    }
    return RequestAttempt.ANY_TIME;
  }

  /**
   * An attempt's time is over. Guards against giving up one whose answer has come while this node
   * did not run: the timer is due before the loop has looked at the socket.
   */
  private void timeOut(RequestAttempt attempt) {
    pools.readNow(attempt);
    withdraw(attempt, Outcome.Result.TIMEOUT);
  }

  /** Stops waiting for an attempt. */
  private void withdraw(RequestAttempt attempt, Outcome.Result result) {
    if (!attempt.isSettled()) {
      // Its time ran out while it waited for a connection: that none came up proves it never ran.
      boolean unsent = !attempt.hasConnection() && result == Outcome.Result.TIMEOUT;
      pools.withdraw(attempt, result == Outcome.Result.TIMEOUT);
      attemptEnded(attempt, unsent ? Outcome.Result.CONNECT_FAILED : result);
    }
  }

  @Override
  public void cancel(String requestId, int number) {
    OpenRequest request = open.get(requestId);
    if (request != null && number < request.attempts.size()) {
      withdraw(request.attempts.get(number), Outcome.Result.CANCELLED);
    }
  }

  @Override
  public void refuse(String requestId, double retryAfter) {
    long millis = Math.round(retryAfter * 1e3);
    open.end(
        open.get(requestId),
        RequestCounters.Ending.OVERLOAD,
        "SERVER_ERROR busy" + (millis > 0 ? " " + millis : ""));
  }

  @Override
  public void fail(String requestId) {
    open.fail(open.get(requestId));
  }

  @Override
  public void wake(long token, double delay) {
    timers.set(token, delay);
  }

  private void wakeDue(long token) {
    events.tell(now -> balancer.timer(now, token));
  }

  @Override
  public void cancelWake(long token) {
    timers.cancel(token);
  }

  @Override
  public void subscribe(boolean on) {
    if (on) {
      discovery.follow();
    } else {
      discovery.stop();
    }
  }

  @Override
  public void closeIdle(long server) {
    pools.closeIdle(server);
  }
}
