package beamspread.node;

import beamspread.loop.UnreleasedSockets;
import beamspread.maintenance.RequestCounters;
import beamspread.maintenance.Tally;
import beamspread.model.LearnedState;
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
import beamspread.node.handover.LearnedStateJson;
import beamspread.node.relay.ValueRelays;
import beamspread.node.server.Attempt;
import beamspread.node.server.AttemptListener;
import beamspread.node.server.ServerPools;
import beamspread.node.server.ValueSink;
import beamspread.node.server.ValueSource;
import beamspread.node.variants.VariantRewriter;
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
 * Connects the decision module ({@link Balancer}) to the sockets: carries out its decisions and
 * reports the outcomes of attempts to it. Runs on the event loop only.
 */
final class Dispatcher implements Actions, AttemptListener, DiscoveryClient.Listener {
  /**
   * The node abandons an attempt this long before the client's deadline, so that the decision
   * module learns of the timeout before it has to answer, and the answer is in time.
   */
  private static final long ANSWER_MARGIN_NANOS = 2_000_000;

  /**
   * Number of one-way trips that the connect timeout covers. One of them is subtracted from the
   * repeat window, because an attempt reaches its server one trip after it was written.
   */
  private static final int ONE_WAY_TRIPS_PER_CONNECT = 3;

  /** Interval between checks for overdue requests after the decision module has failed. */
  private static final long OVERDUE_CHECK_INTERVAL_MILLIS = 10;

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
  private final ListExpiry listExpiry;
  private final RequestMetrics metrics;
  private final OpenRequests openRequests;
  private final DecisionEvents events;
  private final RequestIntake intake;
  private final WakeTimers timers;
  private final Map<String, Settings.ServiceClass> classesByName = new HashMap<>();
  private final long longestDeadlineNanos;
  private NodeConfig config;
  private VariantRewriter variantRewriter;
  private int socketsHeldByOthers;
  private boolean overdueCheckScheduled;
  private long overdueChecksUntil;

  Dispatcher(
      NodeConfig config,
      EventLoop loop,
      Bootstrap bootstrap,
      PoolSettings poolSettings,
      long stalledReplyNanos,
      ValueRelays relays,
      LongUnaryOperator unreadNanos,
      UnreleasedSockets unreleasedSockets,
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
            stalledReplyNanos,
            new SplittableRandom(config.seed())::nextDouble,
            unreleasedSockets::socketClosed,
            this);
    for (Settings.ServiceClass service : settings.services()) {
      classesByName.put(service.name(), service);
    }
    this.metrics = new RequestMetrics(settings.services());
    this.openRequests = new OpenRequests(metrics);
    this.events = new DecisionEvents(clock, this::onModuleFailure);
    this.timers = new WakeTimers(loop, this::onTimerDue);
    this.listLog = new ListLog(log::info);
    this.balancer = new Balancer(settings, config.seed(), this);
    this.listExpiry = new ListExpiry(loop, clock, balancer, this::onListExpired, log::info);
    this.intake =
        new RequestIntake(
            loop,
            openRequests,
            events,
            balancer,
            metrics,
            log,
            settings.services(),
            longestDeadlineNanos);
    this.targets =
        new Targets(
            pools, clock, update -> events.post(now -> balancer.onMembershipUpdate(now, update)));
    this.discovery =
        new DiscoveryClient(
            loop,
            bootstrap,
            config.discovery(),
            settings.callsForList(),
            config.knownList().version(),
            unreadNanos,
            this);
  }

  /**
   * Starts to log a tally line every second.
   *
   * @param clients supplies the current number of client connections
   */
  void startTally(IntSupplier clients) {
    Tally tally = metrics.startTally();
    loop.scheduleAtFixedRate(
        () -> log.info(tally.nextLine(System.currentTimeMillis(), gauges(clients))),
        1,
        1,
        TimeUnit.SECONDS);
  }

  private Tally.Gauges gauges(IntSupplier clients) {
    return new Tally.Gauges(
        openRequests.unanswered(),
        openRequests.attemptsInFlight(),
        clients.getAsInt(),
        pools.socketCount(),
        pools.opened(),
        pools.failedOpens());
  }

  /** Applies the list as it was last known, and starts to follow discovery. */
  void start(MemberList knownList) {
    evidenceObserved(System.nanoTime(), ListEvidence.STARTED);
    targets.applyList(knownList, MembershipUpdate.Kind.CACHED);
    if (!settings.callsForList()) {
      discovery.startWatch();
    }
  }

  /**
   * Applies the settings that can change at run time: the discovery address and the pool bounds.
   * The settings that the decision module was built from stay in force until the next start,
   * because it holds commitments that depend on the old values.
   */
  void reload(NodeConfig newConfig) {
    if (!newConfig.discovery().equals(config.discovery())) {
      log.info("discovery address changed to " + newConfig.discovery());
      discovery.moveTo(newConfig.discovery());
    }
    pools.applySettings(newConfig.pool().withoutSockets(socketsHeldByOthers));
    if (newConfig.needsRestart(config)) {
      log.info("new settings, limits or listening address take effect at the next start");
    }
    config = newConfig;
  }

  /**
   * Answers every request that is still open at the given time, even if its client would wait
   * longer, because the process ends then and nothing else would answer it.
   *
   * @param deadline on the clock of {@link System#nanoTime()}
   */
  void answerAllBy(long deadline) {
    intake.answerAllBy(deadline);
    loop.schedule(openRequests::failAll, deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
  }

  /**
   * Reserves what other processes of this node hold: sockets to cache servers, and open requests,
   * because the limit on client connections applies to all processes together. A third of the open
   * requests stays available, so that this process can still accept some.
   */
  void reserveForOthers(int otherSockets, int otherOpenRequests) {
    balancer.setOpenInOtherProcess(
        Math.min(otherOpenRequests, settings.limits().maxOpen() / 3 * 2));
    if (otherSockets != socketsHeldByOthers) {
      socketsHeldByOthers = otherSockets;
      pools.applySettings(config.pool().withoutSockets(otherSockets));
    }
  }

  private void onModuleFailure(Throwable cause) {
    report("decision module", cause);
    startOverdueChecks();
  }

  /**
   * Makes sure that requests are answered although the decision module may have lost them in an
   * exception: until every request that is open now has passed its deadline, requests that are
   * overdue are failed here.
   */
  private void startOverdueChecks() {
    overdueChecksUntil = System.nanoTime() + longestDeadlineNanos + 1_000_000_000L;
    if (!overdueCheckScheduled) {
      overdueCheckScheduled = true;
      loop.schedule(this::checkOverdue, OVERDUE_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void checkOverdue() {
    long now = System.nanoTime();
    openRequests.failOverdue(now);
    overdueCheckScheduled = now - overdueChecksUntil < 0;
    if (overdueCheckScheduled) {
      loop.schedule(this::checkOverdue, OVERDUE_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  ServerPools pools() {
    return pools;
  }

  /** Returns the handler of incoming client requests. */
  RequestIntake intake() {
    return intake;
  }

  /** Returns the encoded learnt state for a successor process; null if too little is learnt yet. */
  byte[] encodeLearnedState() {
    double now = clock.now();
    return LearnedStateJson.write(now, balancer.learnedState(now));
  }

  /**
   * Restores the learnt state of a predecessor process. Call it once the list is known.
   *
   * @return whether the state was valid
   */
  boolean restoreLearnedState(byte[] encodedState) {
    LearnedState learnedState = LearnedStateJson.read(clock.now(), encodedState);
    if (learnedState != null) {
      balancer.restore(learnedState);
    }
    return learnedState != null;
  }

  Targets targets() {
    return targets;
  }

  ListStatus listStatus() {
    return new ListStatus(
        discovery.version(),
        discovery.millisSinceConfirmed(),
        listExpiry.expired(),
        listExpiry.expiries(),
        discovery.callCount(),
        listLog.failuresByKind());
  }

  /**
   * Returns how many requests this node answered itself, without a cache server, for each cause.
   */
  Map<UnservedCause, Long> unservedByCause() {
    return balancer.unservedByCause();
  }

  RequestCounters figures() {
    return metrics.figures();
  }

  int openRequests() {
    return openRequests.count();
  }

  /** Returns the number of requests without a complete final answer. */
  int unanswered() {
    return openRequests.unanswered() + relays.activeCount();
  }

  @Override
  public void report(String where, Throwable cause) {
    log.error(where, cause);
  }

  // Callbacks from the cache server connections.

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
    attempt.mayHaveExecuted = !result.provesNotRun();
    OpenRequest request = attempt.request;
    double elapsed = (System.nanoTime() - attempt.sentAt) / 1e9;
    events.post(
        now -> {
          request.attemptsInFlight--;
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
            balancer.onOutcome(now, outcome);
          } finally {
            openRequests.removeIfComplete(request);
          }
        });
  }

  /**
   * Returns whether an attempt may begin: its client is still connected and the list has not
   * expired. A disconnect found by this check is delivered to the decision module later, because
   * the module or the pools may be in the middle of a decision.
   */
  @Override
  public boolean isWanted(Attempt attempt) {
    OpenRequest request = ((RequestAttempt) attempt).request;
    if (!request.ended && events.runWithDeliveryHeld(() -> checkClientConnection(request))) {
      loop.execute(events::deliverPending);
    }
    return !request.ended && !balancer.listExpired(clock.now());
  }

  private void checkClientConnection(OpenRequest request) {
    if (request.slot.clientDisconnected()) {
      intake.clientGone(request);
    } else if (request.slot.clientRejected()) {
      intake.clientRejected(request);
    }
  }

  @Override
  public void replyProblem(String description) {
    log.info(description);
  }

  @Override
  public void replyStalled(Attempt serverAttempt, long pausedNanos) {
    RequestAttempt attempt = (RequestAttempt) serverAttempt;
    OpenRequest request = attempt.request;
    if (!attempt.isSettled() && !request.ended) {
      events.post(
          now -> balancer.onReplyStalled(now, request.id(), attempt.number, pausedNanos / 1e9));
    }
  }

  @Override
  public void connectionClosed(String description) {
    log.info(description);
  }

  @Override
  public void attemptWritten(Attempt attempt) {
    metrics.attemptWritten();
  }

  /**
   * Forwards the reply to the client, or drops it if the attempt or the request has already ended.
   */
  @Override
  public void replyReceived(Attempt serverAttempt, MetaReply reply) {
    RequestAttempt attempt = (RequestAttempt) serverAttempt;
    OpenRequest request = attempt.request;
    if (reply.result() == Outcome.Result.OK && !request.ended && !attempt.isSettled()) {
      openRequests.markEnded(request);
      metrics.served(request);
      metrics.replied(request.command.request.serviceClass(), RequestCounters.Ending.SUCCESS);
      if (request.keyRewrite != null && reply.value() != null) {
        variantRewriter.valueReceived(request.keyRewrite, reply.value());
      }
      request.slot.answer(reply.encodeForClient(request.slot.allocator()));
    }
    ended(attempt, reply.result(), reply.note(), reply.loadReport());
  }

  @Override
  public ValueSink valueStarted(Attempt serverAttempt, MetaReply head, ValueSource source) {
    RequestAttempt attempt = (RequestAttempt) serverAttempt;
    OpenRequest request = attempt.request;
    ValueSink sink = null;
    if (!request.ended && !attempt.isSettled()) {
      openRequests.markEnded(request);
      metrics.served(request);
      String className = request.command.request.serviceClass();
      sink =
          relays.begin(
              head,
              source,
              request.slot,
              request.deadlineNanos - System.nanoTime(),
              whole ->
                  metrics.replied(
                      className,
                      whole ? RequestCounters.Ending.SUCCESS : RequestCounters.Ending.ERROR));
    }
    // The decision module measures the latency up to the first bytes of the reply.
    ended(attempt, head.result(), head.note(), head.loadReport());
    return request.keyRewrite == null
        ? sink
        : variantRewriter.hashingSink(request.keyRewrite, sink);
  }

  /** Sets the rewriter that replaces the keys of reads by canonical keys from now on. */
  void useVariants(VariantRewriter rewriter) {
    variantRewriter = rewriter;
    intake.useVariants(rewriter);
  }

  // Callbacks from discovery.

  @Override
  public void listReceived(MemberList list) {
    list.faults().forEach(listLog::logFault);
    listLog.listReceived(list);
    targets.applyList(
        list, list.full() ? MembershipUpdate.Kind.FULL : MembershipUpdate.Kind.CHANGES);
  }

  @Override
  public void evidenceObserved(long at, ListEvidence evidence) {
    events.post(
        now -> {
          balancer.onListEvidence(clock.at(at), evidence);
          listExpiry.check();
        });
  }

  /**
   * Called when the list expires: has the decision module answer the requests that it holds, and
   * abandons attempts that it has decided on but that are not sent yet.
   */
  private void onListExpired() {
    events.post(balancer::answerHeldRequests);
    openRequests.unsentAttempts().forEach(attempt -> abandon(attempt, Outcome.Result.MOOT));
  }

  @Override
  public void automaticCallFailed(CallFailure failure) {
    listLog.callFailed(failure);
  }

  @Override
  public void requestedCallFailed(CallFailure failure) {
    listLog.callFailed(failure);
    MembershipUpdate.Kind kind =
        failure.kind() == CallFailure.Kind.STATUS
            ? MembershipUpdate.Kind.OVERLOADED
            : MembershipUpdate.Kind.FAILED;
    events.post(now -> balancer.onMembershipUpdate(now, new MembershipUpdate(kind, 0, List.of())));
  }

  // Actions of the decision module.

  @Override
  public void send(String requestId, long server, double timeout) {
    OpenRequest request = openRequests.get(requestId);
    if (request == null) {
      log.info("decision to send an unknown request " + requestId);
      return;
    }
    long now = System.nanoTime();
    long latest = request.deadlineNanos - ANSWER_MARGIN_NANOS;
    long deadline = timeout == 0 ? latest : Math.min(latest, now + (long) (timeout * 1e9));
    boolean unrepeatable = serviceClass(request).effect() != Settings.Effect.SAFE;
    RequestAttempt attempt =
        new RequestAttempt(
            request,
            request.attempts.size(),
            server,
            deadline,
            unrepeatable,
            unrepeatable || !settings.limits().parallelAttempts(),
            repeatableUntil(request));
    request.attempts.add(attempt);
    request.attemptsInFlight++;
    metrics.attemptStarted(attempt);
    if (request.ended || attempt.number >= settings.limits().maxAttempts() || latest - now <= 0) {
      attemptEnded(attempt, Outcome.Result.MOOT);
      return;
    }
    attempt.timeout =
        loop.schedule(
            () -> onAttemptTimeout(attempt), Math.max(0, deadline - now), TimeUnit.NANOSECONDS);
    pools.send(attempt);
  }

  private Settings.ServiceClass serviceClass(OpenRequest request) {
    return classesByName.get(request.command.request.serviceClass());
  }

  /**
   * Returns the latest time at which another attempt of a request may be written. Servers remember
   * the idempotency key of an earlier attempt only for the repeat window; an attempt written later
   * could carry out the effect twice. The decision module already allows for the time that a
   * connect takes, but an attempt may wait longer than that for a connection.
   */
  private long repeatableUntil(OpenRequest request) {
    Settings.ServiceClass serviceClass = serviceClass(request);
    if (serviceClass.effect() != Settings.Effect.KEYED) {
      return RequestAttempt.NO_TIME_LIMIT;
    }
    for (RequestAttempt earlier : request.attempts) {
      if (earlier.mayHaveExecuted) {
        double window =
            serviceClass.repeatWindow()
                - settings.limits().connectTimeout() / ONE_WAY_TRIPS_PER_CONNECT;
        return earlier.sentAt + (long) (Math.max(0, window) * 1e9);
      }
    }
    return RequestAttempt.NO_TIME_LIMIT;
  }

  /**
   * Handles the timeout of an attempt. Reads the socket first, because after a stall of this node
   * the timer fires before the event loop has read an answer that has already arrived.
   */
  private void onAttemptTimeout(RequestAttempt attempt) {
    pools.readNow(attempt);
    if (!attempt.isSettled() && !attempt.request.ended) {
      pools.passHeldHead(attempt);
    }
    abandon(attempt, Outcome.Result.TIMEOUT);
  }

  /** Stops waiting for an attempt and settles it with the given result. */
  private void abandon(RequestAttempt attempt, Outcome.Result result) {
    if (!attempt.isSettled()) {
      // It timed out while waiting for a connection, so it is certain that no server has run it.
      boolean unsent = !attempt.hasConnection() && result == Outcome.Result.TIMEOUT;
      pools.withdraw(attempt, result == Outcome.Result.TIMEOUT);
      attemptEnded(attempt, unsent ? Outcome.Result.CONNECT_FAILED : result);
    }
  }

  @Override
  public void cancel(String requestId, int number) {
    OpenRequest request = openRequests.get(requestId);
    if (request != null && number < request.attempts.size()) {
      abandon(request.attempts.get(number), Outcome.Result.CANCELLED);
    }
  }

  @Override
  public void giveUp(String requestId, int number) {
    OpenRequest request = openRequests.get(requestId);
    if (request != null && number < request.attempts.size()) {
      log.info("gives up a reply that makes no progress, request " + requestId);
      abandon(request.attempts.get(number), Outcome.Result.TIMEOUT);
    }
  }

  @Override
  public void refuse(String requestId, double retryAfter) {
    long millis = Math.round(retryAfter * 1e3);
    openRequests.answer(
        openRequests.get(requestId),
        RequestCounters.Ending.OVERLOAD,
        "SERVER_ERROR busy" + (millis > 0 ? " " + millis : ""));
  }

  @Override
  public void fail(String requestId) {
    openRequests.fail(openRequests.get(requestId));
  }

  @Override
  public void setTimer(long token, double delay) {
    timers.set(token, delay);
  }

  private void onTimerDue(long token) {
    events.post(now -> balancer.onTimer(now, token));
  }

  @Override
  public void cancelTimer(long token) {
    timers.cancel(token);
  }

  @Override
  public void subscribe(boolean on) {
    if (on) {
      discovery.startWatch();
    } else {
      discovery.stop();
    }
  }

  @Override
  public void closeIdle(long server) {
    pools.closeIdle(server);
  }
}
