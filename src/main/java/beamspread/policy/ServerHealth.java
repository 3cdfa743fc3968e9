package beamspread.policy;

import beamspread.model.Hashes;
import beamspread.model.Outcome;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;

/** Tracks one server: its list entry, requests in flight, health, key share and warmth. */
final class ServerHealth {
  /** Consecutive connect failures that make a server suspect; a full server may cause one. */
  private static final int SUSPECT_AFTER_FAILURES = 2;

  /** Consecutive unserved attempts that make a server suspect while few servers fail. */
  static final int SUSPECT_AFTER_UNSERVED = 3;

  /** Within this time after an answer, a reset is blamed on the connection, not on the server. */
  private static final double RECENT_ANSWER_SECONDS = 1;

  /** A server that answers again after no answer for this long has been restarted. */
  private static final double MIN_OUTAGE_SECONDS = 2;

  /** Pause before the first trial of a suspect server, and the longest pause. */
  private static final double FIRST_TRIAL_PAUSE_SECONDS = 0.5;

  private static final double MAX_TRIAL_PAUSE_SECONDS = 4;

  /** Time constant of the decay of saturation, in which it falls to about a third. */
  private static final double SATURATION_DECAY_SECONDS = 3;

  /** Weight of one fetch in the moving average of its server's fetch failures. */
  static final double FETCH_WEIGHT = 0.2;

  /** Saturation below which a server has capacity to spare. */
  private static final double LOW_SATURATION = 0.5;

  final long id;
  ServerEntry entry;
  int inFlight;

  /**
   * Share of its keys that the server gets, learned from its saturation; the other keys jump on.
   * Which keys stay depends only on their hashes, so balancers that learn the same share move the
   * same keys.
   */
  double keyShare = 1;

  /** Recent saturation: above 1, its answers are late or its cores are fully used. */
  private double saturation = 0.5;

  private double sampledAt;

  private final Settings settings;
  private double startedAt;
  private int consecutiveFailures;
  private double trialPause;
  private double nextTrialAt;
  private boolean trialInFlight;

  /** How long a request waits for a reply of this server that pauses. */
  final StallPatience stallPatience = new StallPatience();

  /** Share of its recent fetches that failed or were late. */
  double fetchFailureRate;

  /** Consecutive attempts that it did not serve. */
  int consecutiveUnserved;

  /** When a connection was last in use; after the idle timeout none is open. */
  double connectionUsedAt = Double.NEGATIVE_INFINITY;

  /** Whether a connection to it broke, and whether its process has probably ended. */
  private boolean connectionBroke;

  private boolean processEnded;

  /** Time of its last answer; before the first one, the time it was added to the list. */
  private double lastAnswerAt;

  private boolean hasAnswered;
  private double lastServedAt = Double.NEGATIVE_INFINITY;

  private double coldTokens;
  private double coldTokensUpdatedAt;

  ServerHealth(ServerEntry entry, double now, Settings settings) {
    this.id = entry.id();
    this.entry = entry;
    this.settings = settings;
    this.startedAt = entry.startedAt() > 0 ? entry.startedAt() : Double.NEGATIVE_INFINITY;
    this.sampledAt = now;
    this.lastAnswerAt = now;
    resetColdTokens(now);
  }

  /** Resets the token bucket; balancers are staggered in their first requests to a cold server. */
  private void resetColdTokens(double now) {
    double phase = (double) settings.instanceNumber() / Math.max(1, settings.instances());
    coldTokens = (phase + Hashes.toUnitInterval(Hashes.mix(id))) % 1;
    coldTokensUpdatedAt = now;
  }

  /** Updates the list entry; a later start time means an empty cache and a cold server. */
  void updateEntry(ServerEntry update, double now) {
    if (update.startedAt() > entry.startedAt()) {
      startedAt = Math.max(startedAt, update.startedAt());
      consecutiveFailures = 0;
      trialInFlight = false;
      resetColdTokens(now);
    }
    entry = update;
  }

  /** Rule 3: returns whether the list says ready; only such servers get new requests. */
  boolean isReady() {
    return entry.state() == ServerEntry.State.READY;
  }

  /** Returns whether it answered so recently that a broken connection is not its fault. */
  boolean answeredRecently(double now) {
    return hasAnswered && now - lastAnswerAt < RECENT_ANSWER_SECONDS;
  }

  boolean isSuspect() {
    return consecutiveFailures >= SUSPECT_AFTER_FAILURES;
  }

  /** Returns whether a suspect server may get a trial request: one at a time, after a pause. */
  boolean isTrialDue(double now) {
    return !trialInFlight && now >= nextTrialAt;
  }

  /**
   * Adds a sample of saturation and adapts the key share. This relieves servers that are slower
   * than their weight or own too many keys while each balancer has too few requests in flight there
   * to reach a cap.
   *
   * @param sample 1 for a server that is just not saturated
   * @param saturationLimit the saturation above which the share falls
   */
  void addSample(double now, double sample, double saturationLimit) {
    saturation = saturation(now) + 0.2 * (Math.min(4, Math.max(0, sample)) - saturation(now));
    double relative = Math.min(4, Math.max(0, sample / saturationLimit));
    if (relative > 1) {
      // After a longer time a sample weighs more: with little traffic there are few samples.
      double gain = Math.max(0.1, Math.min(0.25, 0.2 * (now - sampledAt)));
      keyShare *= 1 - gain * (relative - 1);
    } else {
      keyShare += 0.05 * (1 - relative) * Math.max(keyShare, 0.2);
    }
    // The share also recovers with time, since a server with few keys gives few samples.
    keyShare += 0.02 * Math.min(5, Math.max(0, now - sampledAt));
    keyShare = Math.min(1, Math.max(0.02, keyShare));
    sampledAt = now;
  }

  /** Records the result of a likely fetch; one that is neither good nor bad does not count. */
  void recordFetch(boolean inTime, boolean failed) {
    fetchFailureRate += inTime || failed ? FETCH_WEIGHT * ((failed ? 1 : 0) - fetchFailureRate) : 0;
  }

  /** Returns the saturation, which decays so that a server without requests recovers. */
  double saturation(double now) {
    return saturation * Math.exp(Math.min(0, sampledAt - now) / SATURATION_DECAY_SECONDS);
  }

  /** Returns the key share, which recovers with time. */
  double keyShare(double now) {
    return Math.min(1, keyShare + 0.02 * Math.max(0, now - sampledAt));
  }

  /** Returns whether the key is in the server's share, relative to the largest share. */
  boolean keepsKey(double now, long keyHash, double largestShare) {
    double kept = keyShare(now) / largestShare;
    return kept >= 1 || Hashes.toUnitInterval(keyHash ^ Hashes.mix(id)) < kept;
  }

  /** Returns the part of its capacity that it has by the contract; 1 once it is warm. */
  double warmth(double now) {
    return settings.contract().warmth(now - startedAt);
  }

  /**
   * Rule 4: returns whether a token bucket admits a request to this cold server. The fill rate is
   * the answer rate of warm servers of equal weight times the server's warmth; once it answers with
   * low saturation, half of what the contract allows above that is added. Balancers don't know of
   * each other's requests, so saved tokens are limited: all balancers may spend them at the same
   * time. The rest of the contract's N, and most of the 2√N above it, covers tokens that were
   * earned before a window began.
   */
  boolean admitsWhileCold(double now, double warmRate) {
    double fairRate = warmRate * warmth(now);
    double halfHeadroom = Math.max(0, settings.contract().overloadFactor() - 1) / 2;
    double rate =
        fairRate
            * (lastServedAt > startedAt && saturation(now) < LOW_SATURATION ? 1 + halfHeadroom : 1);
    double instances = Math.max(1, settings.instances());
    double window = fairRate * settings.contract().overloadFor();
    double savedTokensLimit =
        window * halfHeadroom
            + 1.5 * Math.sqrt((1 + 2 * halfHeadroom) * window / instances)
            + 1 / instances;
    savedTokensLimit = Math.min(savedTokensLimit, Math.max(1, rate * 0.25));
    coldTokens += (now - coldTokensUpdatedAt) * rate;
    coldTokens -= Math.max(0, Math.ceil(coldTokens - 1 - savedTokensLimit));
    coldTokensUpdatedAt = now;
    return coldTokens >= 1;
  }

  void recordSent() {
    inFlight++;
    coldTokens--;
    if (isSuspect()) {
      trialInFlight = true;
    }
  }

  /** Records an attempt's end; true if the server refused a connection but may be running. */
  boolean recordEnd(double now, Outcome outcome, double idleTimeout, boolean fewServersFail) {
    Outcome.Result result = outcome.result();
    boolean served = result == Outcome.Result.OK || result == Outcome.Result.NOT_STORED;
    boolean failed = outcome.blamesServer();
    consecutiveUnserved = served ? 0 : consecutiveUnserved + (failed ? 1 : 0);
    lastServedAt = served ? now : lastServedAt;
    inFlight--;
    trialInFlight = false;
    boolean wasSuspect = isSuspect();
    if (result.isConnectionFailure()) {
      // A server at its connection limit refuses like a dead one, but keeps open connections.
      connectionBroke |= result == Outcome.Result.RESET || now - connectionUsedAt < idleTimeout;
      // A running server that resets connections must not count as dead and then as cold: its
      // process has ended only if trials fail too, for at least as long as a start takes.
      processEnded |= wasSuspect && connectionBroke && now - lastAnswerAt > MIN_OUTAGE_SECONDS;
      connectionUsedAt = Double.NEGATIVE_INFINITY;
      consecutiveFailures += result == Outcome.Result.RESET && answeredRecently(now) ? 0 : 1;
    } else if (result.isFromServer()) {
      connectionUsedAt = lastAnswerAt = now;
      hasAnswered = true;
      if (wasSuspect && processEnded) {
        // It answers again before the list reports the restart: its process is new and cold.
        startedAt = Math.max(startedAt, now);
        resetColdTokens(now);
      }
      consecutiveFailures = 0;
      processEnded = connectionBroke = false;
    }
    // A server that hangs would make its failed fetches look like the origin's, and one that
    // rejects everything at once looks idle and attracts requests: both become suspect. Not if many
    // fail, since the cause is then shared, and not if it still serves some requests, since its
    // load would overload the others.
    if (failed
        && fewServersFail
        && consecutiveUnserved >= SUSPECT_AFTER_UNSERVED
        && now - lastServedAt > RECENT_ANSWER_SECONDS) {
      consecutiveFailures = SUSPECT_AFTER_FAILURES;
    }
    // Attempts sent before the trial don't delay it; a trial that gets an answer costs little.
    if (isSuspect() && !served && (!wasSuspect || now >= nextTrialAt)) {
      trialPause =
          wasSuspect && !result.isFromServer()
              ? Math.min(MAX_TRIAL_PAUSE_SECONDS, trialPause * 1.5)
              : FIRST_TRIAL_PAUSE_SECONDS;
      nextTrialAt = now + trialPause;
    }
    return result.isConnectionFailure() && !connectionBroke;
  }
}
