package beamspread.policy;

import beamspread.model.Hashes;
import beamspread.model.LearnedState;
import beamspread.model.ListEvidence;
import beamspread.model.MembershipUpdate;
import beamspread.model.Outcome;
import beamspread.model.Request;
import beamspread.model.Settings;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Chooses a server for each request: Random Jump Consistent Hashing over the listed servers, with a
 * cap on the requests that this balancer has in flight at each server. There is one balancer per
 * instance; each method takes the time of its event in seconds.
 */
public final class Balancer {
  static final long FEED_TIMER_TOKEN = 0;
  private static final long HOLD_BIT = 1; // Set in the token of a hold timer; serials are even.

  /** Jumps before falling back to the least loaded server; each draws one of many servers. */
  private static final int MAX_JUMPS = 64;

  /** Likely fetches that are always admitted, per request: about the misses of a warm fleet. */
  private static final double MIN_FETCHES_PER_REQUEST = 0.1;

  /** Part of the limit on open requests that reads may use: writes are worth more. */
  private static final double MAX_READS_PART = 0.875;

  /** How long connections are closed after use: about as long as a fleet keeps its size. */
  private static final double CLOSE_AFTER_USE_SECONDS = 300;

  private final Settings settings;
  private final Actions actions;
  private final SplittableRandom random;
  private final MembershipFeed feed;
  private final KeyOwners keyOwners;
  private final OriginGuard guard = new OriginGuard();
  private final Rates rates = new Rates();
  private final FleetLoad fleetLoad = new FleetLoad();
  private final RetryBudget retries = new RetryBudget();
  private final SlotTable slots;
  private final Map<String, Settings.ServiceClass> classesByName = new HashMap<>();
  private final Map<String, PendingRequest> pendingById = new HashMap<>();
  private final Map<Long, PendingRequest> pendingBySerial = new HashMap<>();
  private final Map<UnservedCause, Long> unservedByCause = new EnumMap<>(UnservedCause.class);
  private List<ServerHealth> caches = List.of();
  private List<ServerHealth> origins = List.of();
  private double totalWeight;
  private int inFlight;
  private int openInOtherProcess;
  private long lastSerial;
  private double closeAfterUseUntil = Double.NEGATIVE_INFINITY;

  /** Creates a balancer that has no list of servers yet. */
  public Balancer(Settings settings, long seed, Actions actions) {
    this.settings = settings;
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.keyOwners = new KeyOwners(settings, random);
    this.slots = new SlotTable(settings.spread().points());
    this.feed = new MembershipFeed(settings, actions, random.split());
    for (Settings.ServiceClass service : settings.services()) {
      classesByName.put(service.name(), service);
    }
  }

  /** Applies an update of the list of servers. */
  public void onMembershipUpdate(double now, MembershipUpdate update) {
    feed.apply(now, update);
    List<ServerHealth> cacheServers = new ArrayList<>();
    List<ServerHealth> originServers = new ArrayList<>();
    totalWeight = 0;
    for (ServerHealth server : feed.readyServers()) {
      if (server.entry.kind().equals(settings.cache().originKind())) {
        originServers.add(server);
      } else {
        cacheServers.add(server);
        totalWeight += weight(server);
      }
    }
    boolean weighted = settings.weights().areFixed();
    if (!cacheServers.equals(caches) || (weighted && !update.kind().isFailure())) {
      slots.rebuild(cacheServers, weighted);
    }
    caches = cacheServers;
    origins = originServers;
  }

  /** Records whether discovery was reachable and confirmed the list at this time. */
  public void onListEvidence(double time, ListEvidence evidence) {
    feed.recordEvidence(time, evidence);
  }

  /** Returns whether the list is too old for any request to be sent by it. */
  public boolean listExpired(double now) {
    return feed.freshness().isExpired(now);
  }

  /** Returns when the list expires without further evidence; positive infinity for never. */
  public double listExpiresAt() {
    return feed.freshness().expiresAt();
  }

  /** Answers the requests that are held here, once the list has expired. */
  public void answerHeldRequests(double now) {
    List<PendingRequest> held = pendingById.values().stream().filter(p -> p.held).toList();
    held.forEach(p -> resume(now, p));
  }

  private double weight(ServerHealth server) {
    return settings.weights() == Settings.Weights.NONE ? 1 : LoadCap.valid(server.entry.weight());
  }

  /** Handles a client's request. */
  public void onRequest(double now, Request request) {
    Settings.ServiceClass type = classesByName.get(request.serviceClass());
    if (type == null) {
      // The effect of an unknown class is unknown, so no server may receive the request.
      unservedByCause.merge(UnservedCause.UNKNOWN_CLASS, 1L, Long::sum);
      actions.fail(request.id());
      return;
    }
    updateEachSecond(now);
    rates.countRequest();
    String subject = request.key() != null ? request.key() : request.id();
    PendingRequest call =
        new PendingRequest(request, type, Hashes.of(subject), lastSerial += 2, now);
    pendingById.put(request.id(), call);
    pendingBySerial.put(call.serial, call);
    if (request.key() != null) {
      keyOwners.assign(now, call, caches.size());
    }
    // Rule 1: the request is answered at its deadline at the latest.
    actions.setTimer(call.serial, Math.max(0, call.deadline - now));
    // By Little's law, more requests in flight than are answered within the aim make every answer
    // late, so further ones are refused. Fetches have their own window and don't count; one request
    // for each server is always admitted.
    int active = inFlight - guard.fetchesInFlight;
    double openLimit = settings.limits().maxOpen() * (request.write() ? 1 : MAX_READS_PART);
    boolean exceedsAim = active > caches.size() && active > rates.answerRate * type.aim();
    if (exceedsAim) {
      giveUp(call, UnservedCause.OVERLOAD);
    } else if (pendingById.size() + openInOtherProcess > openLimit) {
      giveUp(call, UnservedCause.TOO_MANY_OPEN);
    } else if (!dispatch(now, call)) {
      giveUp(call, noServerCause(now));
    }
  }

  private UnservedCause noServerCause(double now) {
    return listExpired(now) ? UnservedCause.LIST_EXPIRED : UnservedCause.NO_SERVER;
  }

  /** Sends an attempt, or holds the request for a fetch; false if no server may receive it. */
  private boolean dispatch(double now, PendingRequest call) {
    ServerHealth target = chooseServer(now, call);
    if (target == null) {
      return false;
    }
    if (!settings.cache().aside() && call.request.key() != null && !call.request.write()) {
      long pairHash = OriginGuard.pairHash(call, target);
      if (guard.expectsMiss(now, pairHash)) {
        boolean patient = !call.holdExpired;
        boolean follows = patient && guard.joinFetch(pairHash, call);
        if (follows || guard.isFull(now)) {
          if (!follows && patient) {
            guard.park(call);
          }
          if (patient) {
            hold(now, call);
          }
          return patient;
        }
        guard.recordStart(now, pairHash, call, fleetLoad.isOutlier(now, target));
      }
    }
    send(now, call, target);
    return true;
  }

  /** Holds a request until a fetch ends, but for no longer than half of its class's aim. */
  private void hold(double now, PendingRequest call) {
    call.held = true;
    actions.setTimer(call.serial + HOLD_BIT, Math.max(0, call.arrived + call.type.aim() / 2 - now));
  }

  private void send(double now, PendingRequest call, ServerHealth target) {
    target.recordSent();
    call.recordSent(target, now);
    inFlight++;
    actions.send(call.request.id(), target.id, 0);
  }

  /** Recomputes, once a second, the rates and the figures of the fleet. */
  private void updateEachSecond(double now) {
    if (rates.isDue(now)) {
      fleetLoad.update(now, caches);
      guard.bestFailureRate = fleetLoad.bestFailureRate();
      double weight = 0;
      for (ServerHealth server : caches) {
        weight += server.warmth(now) >= 1 && !server.isSuspect() ? weight(server) : 0;
      }
      rates.updateAverages(now, weight, !listExpired(now));
      guard.minFetchRate = MIN_FETCHES_PER_REQUEST * rates.requestRate;
    }
  }

  /** Returns the first of h(key, 0), h(key, 1), ... below its cap, else a fallback or null. */
  private ServerHealth chooseServer(double now, PendingRequest call) {
    if (listExpired(now)) {
      return null;
    }
    if (settings.cache().aside() && call.request.write()) {
      return leastLoaded(now, call, origins);
    }
    ServerHealth leastFull = null;
    double leastFill = Double.POSITIVE_INFINITY;
    for (int jump = 0; jump < call.zoneJumps + MAX_JUMPS; jump++) {
      ServerHealth server = slots.owner(call.keyHash, call.hashNumber(jump));
      if (server == null) {
        return null;
      }
      if (jump < call.zoneJumps && !server.entry.zone().equals(settings.zone())) {
        continue;
      }
      if (!call.maySend(server, now, settings.limits()) || call.attemptsUsedUp(server)) {
        continue;
      }
      if (server.isSuspect()) {
        if (jump <= call.zoneJumps
            && call.type.effect() == Settings.Effect.SAFE
            && server.isTrialDue(now)) {
          return server;
        }
        continue;
      }
      if (isColdAndFull(now, server)
          || !server.keepsKey(now, call.keyHash, fleetLoad.largestShare())) {
        continue;
      }
      int cap = LoadCap.cap(inFlight + 1, weight(server), totalWeight, settings);
      if (server.inFlight < cap) {
        return server;
      }
      double fill = (double) server.inFlight / cap;
      if (fill < leastFill && server.warmth(now) >= 1) {
        leastFull = server;
        leastFill = fill;
      }
    }
    return leastFull != null ? leastFull : leastLoaded(now, call, caches);
  }

  private boolean isColdAndFull(double now, ServerHealth server) {
    return server.warmth(now) < 1 && !server.admitsWhileCold(now, rates.warmRate * weight(server));
  }

  /** Returns the server with the fewest requests in flight that may receive this one, or null. */
  private ServerHealth leastLoaded(double now, PendingRequest call, List<ServerHealth> candidates) {
    if (listExpired(now)) {
      return null;
    }
    ServerHealth best = null;
    for (ServerHealth server : candidates) {
      if (!call.maySend(server, now, settings.limits())
          || (server.isSuspect() && !server.isTrialDue(now))
          || isColdAndFull(now, server)) {
        continue;
      }
      best = best == null || server.inFlight < best.inFlight ? server : best;
    }
    return best;
  }

  /** Answers a request that gets no further attempt, unless one is in flight or it is held. */
  private void giveUp(PendingRequest call, UnservedCause cause) {
    if (!call.answered && call.inFlight == 0 && !call.held) {
      answerUnserved(call, cause);
    }
  }

  /** Gives the final answer to a request that no server answered. */
  private void answerUnserved(PendingRequest call, UnservedCause cause) {
    unservedByCause.merge(cause, 1L, Long::sum);
    if (call.inFlight == 0 && call.mayRefuse()) {
      // Spread over an aim, so that clients that were refused together don't retry together.
      boolean advisesRetry = settings.limits().advisesRetryAfter();
      double retryAfter = advisesRetry ? call.type.aim() * (0.5 + random.nextDouble()) : 0;
      actions.refuse(call.request.id(), Math.min(settings.limits().maxRetryAfter(), retryAfter));
    } else {
      actions.fail(call.request.id());
    }
    finish(call);
  }

  /** Marks a request as answered; its attempts may still be in flight. */
  private void finish(PendingRequest call) {
    call.answered = true;
    pendingBySerial.remove(call.serial);
    actions.cancelTimer(call.serial);
    actions.cancelTimer(call.serial + HOLD_BIT);
    if (call.inFlight == 0) {
      pendingById.remove(call.request.id());
    }
  }

  /** Records that a streamed answer has begun; the request has no deadline from now on. */
  public void onStreamStarted(double now, String requestId, int attempt) {
    PendingRequest call = pendingById.get(requestId);
    if (call != null && call.isInFlight(attempt)) {
      call.streaming = true;
    }
  }

  /**
   * Handles an attempt that waits for a reply that has begun and makes no progress: the rest may
   * still come, or never. The request is sent to another server too. Where that is only allowed
   * once the attempt has ended, the attempt is given up when enough of the time has passed.
   *
   * @param pausedSeconds for how long nothing of the reply has come
   */
  public void onReplyStalled(double now, String requestId, int attempt, double pausedSeconds) {
    PendingRequest call = pendingById.get(requestId);
    if (call == null || call.answered || call.streaming || !call.isInFlight(attempt)) {
      return;
    }
    call.attempts.get(attempt).stalled = true;
    if (attempt == call.fetchAttempt) {
      // The origin has done its part: a spoilt reply must not hold up what waits for the fetch.
      resumeAll(now, guard.recordEnd(now, call, false, false, false));
    }
    if (settings.limits().parallelAttempts()) {
      sendBesideStalled(now, call);
    } else if (mayRetry()) {
      giveUpStalled(now, call, attempt, pausedSeconds);
    }
  }

  private boolean mayRetry() {
    return retries.available() && !guard.isFailing();
  }

  /** Sends a further attempt of a request whose attempts in flight have all stalled, if it may. */
  private void sendBesideStalled(double now, PendingRequest call) {
    boolean timeLeft = now < call.deadline - settings.tickSeconds();
    if (!timeLeft || !call.onlyStalledInFlight() || !mayRetry()) {
      return;
    }
    ServerHealth target = chooseServer(now, call);
    if (target == null) {
      return;
    }
    boolean fetches =
        !call.request.write() && guard.expectsMiss(now, OriginGuard.pairHash(call, target));
    if (!fetches || !guard.isFull(now)) {
      retries.spend();
      send(now, call, target);
    }
  }

  private void giveUpStalled(double now, PendingRequest call, int attempt, double pausedSeconds) {
    ServerHealth stalled = call.attempts.get(attempt).server;
    boolean another =
        caches.stream()
            .anyMatch(
                server ->
                    server != stalled
                        && !server.isSuspect()
                        && call.maySendAfterCurrent(server, now, settings.limits()));
    if (another && stalled.stallPatience.isExhausted(now, pausedSeconds, call.deadline - now)) {
      stalled.stallPatience.recordGivenUp(now);
      actions.giveUp(call.request.id(), attempt);
    }
  }

  /** Handles the end of an attempt. */
  public void onOutcome(double now, Outcome outcome) {
    PendingRequest call = pendingById.get(outcome.requestId());
    if (call == null || !call.recordEnd(outcome.attempt(), outcome.result().provesNotRun())) {
      return;
    }
    inFlight--;
    ServerHealth server = call.attempts.get(outcome.attempt()).server;
    call.attempts.get(outcome.attempt()).connectionFault =
        outcome.result().isConnectionFailure() && server.answeredRecently(now);
    closeIfUnused(
        now,
        server,
        server.recordEnd(now, outcome, settings.limits().idleTimeout(), fleetLoad.fewFail()));
    if (outcome.result() == Outcome.Result.OK && call.attempts.get(outcome.attempt()).stalled) {
      server.stallPatience.recordEnd();
    }
    // What a second attempt brings behind the answer is work done twice.
    if (outcome.result() == Outcome.Result.OK && !call.answered) {
      retries.earn();
      rates.countAnswer(server.warmth(now) >= 1);
    }
    // Before any retry, which would overwrite the ended fetch and leave its followers waiting.
    recordResult(now, call, server, outcome);
    if (outcome.requestEnded() || outcome.result() == Outcome.Result.OK || call.answered) {
      finish(call);
    } else if (call.inFlight == 0) {
      retryOrAnswer(now, call, outcome);
    } else {
      sendBesideStalled(now, call);
    }
  }

  /**
   * Closes unused connections for some time after a running server has refused one: if there are
   * more balancers than a server accepts connections, each would keep one that it hardly uses.
   */
  private void closeIfUnused(double now, ServerHealth server, boolean refused) {
    if (refused) {
      closeAfterUseUntil = now + CLOSE_AFTER_USE_SECONDS;
    }
    if (now < closeAfterUseUntil && server.inFlight == 0) {
      actions.closeIdle(server.id);
      server.connectionUsedAt = Double.NEGATIVE_INFINITY;
    }
  }

  /** Updates server and origin statistics, and resumes requests that were held for a fetch. */
  private void recordResult(double now, PendingRequest call, ServerHealth server, Outcome outcome) {
    fleetLoad.recordLoad(now, call, server, outcome, guard.isFailing());
    boolean ok = outcome.result() == Outcome.Result.OK;
    if (ok && !call.request.write()) {
      guard.recordAnswer(now, OriginGuard.pairHash(call, server), outcome.note());
    }
    if (outcome.attempt() == call.fetchAttempt) {
      boolean inTime = ok && outcome.elapsedSeconds() <= call.type.aim();
      boolean failed = outcome.blamesServer() || outcome.result() == Outcome.Result.ERROR;
      failed |= ok && !inTime && outcome.note() != Outcome.Note.HIT;
      // One server sees too few fetches to judge the origin, so all count that are at most one
      // failure behind the best quarter. Servers that fail fetches for a cause of their own (bad
      // links, full queues) must not close the window for the others.
      boolean counts = server.fetchFailureRate <= guard.bestFailureRate + ServerHealth.FETCH_WEIGHT;
      counts &= outcome.result() != Outcome.Result.FULL;
      server.recordFetch(inTime, failed);
      resumeAll(now, guard.recordEnd(now, call, inTime, failed, counts));
    }
    for (PendingRequest next = guard.nextParked(now); next != null; next = guard.nextParked(now)) {
      resume(now, next);
    }
  }

  /** Resumes the requests that waited for a fetch. */
  private void resumeAll(double now, List<PendingRequest> followers) {
    for (PendingRequest follower : followers) {
      if (follower.held && !follower.answered) {
        resume(now, follower);
      }
    }
  }

  private void resume(double now, PendingRequest call) {
    call.held = false;
    if (!dispatch(now, call)) {
      giveUp(call, noServerCause(now));
    }
  }

  private void retryOrAnswer(double now, PendingRequest call, Outcome outcome) {
    if (now >= call.deadline - settings.tickSeconds()) {
      answerUnserved(call, UnservedCause.TIME_UP);
      return;
    }
    UnservedCause cause = noServerCause(now);
    // If one server rejects what the others serve, retries don't multiply the load.
    boolean ownFault =
        call.attempts.get(outcome.attempt()).server.fetchFailureRate > OriginGuard.MAX_FAILURE_RATE;
    boolean costsNoToken =
        outcome.result().isConnectionFailure()
            || (outcome.result() == Outcome.Result.FULL && ownFault && !guard.isFailing());
    if (outcome.result() == Outcome.Result.NOT_STORED) {
      ServerHealth origin = leastLoaded(now, call, origins);
      if (origin != null) {
        send(now, call, origin);
        return;
      }
    } else if (costsNoToken || mayRetry()) {
      // No retry while fetches fail: it would be one more fetch.
      if (!costsNoToken) {
        retries.spend();
      }
      if (dispatch(now, call)) {
        return;
      }
    } else {
      cause = UnservedCause.NO_RETRY;
    }
    giveUp(call, cause);
  }

  /** Handles the client's disconnect: the request needs no answer any more. */
  public void onClientGone(double now, String requestId) {
    PendingRequest call = pendingById.get(requestId);
    if (call == null || call.answered) {
      return;
    }
    if (settings.limits().mayCancel() && !call.streaming) {
      for (int i = 0; i < call.attempts.size(); i++) {
        if (call.isInFlight(i)) {
          actions.cancel(requestId, i);
        }
      }
    }
    finish(call);
  }

  /** Handles that a request may get no further attempt, though it is still owed its answer. */
  public void onNoFurtherAttempts(String requestId) {
    PendingRequest call = pendingById.get(requestId);
    if (call != null) {
      call.noFurtherAttempts = true;
    }
  }

  /** Handles a timer that was set earlier. */
  public void onTimer(double now, long token) {
    if (token == FEED_TIMER_TOKEN) {
      feed.onTimer(now);
      return;
    }
    PendingRequest call = pendingBySerial.get(token & ~HOLD_BIT);
    if (call == null || call.answered || call.streaming) {
      return;
    }
    if ((token & HOLD_BIT) != 0) {
      call.holdExpired = true;
      if (call.held) {
        resume(now, call);
      }
      return;
    }
    answerUnserved(call, UnservedCause.TIME_UP);
  }

  /** Sets how many requests another process of this instance has open; they count here too. */
  public void setOpenInOtherProcess(int open) {
    openInOtherProcess = open;
  }

  /** Returns how many requests were answered for each cause since the start. */
  public Map<UnservedCause, Long> unservedByCause() {
    return unservedByCause;
  }

  /** Returns what a successor process should know from its start. */
  public LearnedState learnedState(double now) {
    Map<Long, Double> shares = new HashMap<>();
    caches.forEach(server -> shares.put(server.id, server.keyShare(now)));
    return new LearnedState(rates.warmRate, rates.answerRate, rates.requestRate, shares);
  }

  /** Restores what a predecessor has learned; called once the list is known. */
  public void restore(LearnedState state) {
    rates.warmRate = state.warmRate();
    rates.answerRate = state.answerRate();
    rates.requestRate = state.requestRate();
    caches.forEach(server -> server.keyShare = state.keyShares().getOrDefault(server.id, 1.0));
  }
}
