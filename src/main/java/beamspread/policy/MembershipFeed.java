package beamspread.policy;

import beamspread.model.ListEvidence;
import beamspread.model.MembershipUpdate;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Keeps the list of servers, and calls discovery for it if the list is not pushed. */
final class MembershipFeed {
  /**
   * Longest pause after a failed call, and longest wait for the end of a call: a change counts as
   * delivered 6 s after discovery was reachable, whatever failed before (design 0012).
   */
  private static final double MAX_PAUSE_SECONDS = 1;

  private static final double MAX_CALL_SECONDS = 5;

  /** Time per instance over which the first calls after a start are spread, and its maximum. */
  private static final double START_SPREAD_SECONDS_PER_INSTANCE = 0.02;

  private static final double MAX_START_SPREAD_SECONDS = 2;

  /** The same for calls after subscriptions were lost together, while the lists are current. */
  private static final double RESUBSCRIBE_SPREAD_SECONDS_PER_INSTANCE = 0.04;

  private static final double MAX_RESUBSCRIBE_SPREAD_SECONDS = 4;

  /** A lost subscription is renewed within this time after changes may be missing. */
  private static final double RESUBSCRIBE_WITHIN_SECONDS = 4;

  /**
   * Pauses after a call that discovery was too busy to answer: the first pause per instance of the
   * fleet and its bounds, its growth factor, the longest pause, and the part that jitter leaves. A
   * service that answers calls in order also works on those that have timed out; if these are
   * repeated before it has caught up, it serves no one for as long as that goes on.
   */
  private static final double OVERLOAD_PAUSE_SECONDS_PER_INSTANCE = 0.04;

  private static final double MIN_FIRST_OVERLOAD_PAUSE_SECONDS = 1;
  private static final double MAX_FIRST_OVERLOAD_PAUSE_SECONDS = 4;
  private static final double OVERLOAD_PAUSE_GROWTH = 1.6;
  private static final double MAX_OVERLOAD_PAUSE_SECONDS = 6;

  private static final double MIN_OVERLOAD_PAUSE_PART = 0.5;

  private final Settings settings;
  private final Actions actions;
  private final SplittableRandom random;
  private final ListFreshness freshness;
  private final TreeMap<Long, ServerHealth> servers = new TreeMap<>();
  private boolean started;
  private boolean subscribed;
  private double nextCallAt = Double.POSITIVE_INFINITY;
  private int consecutiveFailures;
  private int consecutiveOverloads;

  MembershipFeed(Settings settings, Actions actions, SplittableRandom random) {
    this.settings = settings;
    this.actions = actions;
    this.random = random;
    this.freshness = new ListFreshness(settings);
  }

  /** Returns the state that determines when the list expires. */
  ListFreshness freshness() {
    return freshness;
  }

  /** Records evidence about discovery at this time. */
  void recordEvidence(double time, ListEvidence evidence) {
    freshness.record(time, evidence);
  }

  /** Returns all ready servers of the list, ordered by id. */
  List<ServerHealth> readyServers() {
    return servers.values().stream().filter(ServerHealth::isReady).toList();
  }

  /** Applies an update of the list and schedules the next call. */
  void apply(double now, MembershipUpdate update) {
    switch (update.kind()) {
      case FAILED -> scheduleCall(now, pauseAfterFailure(now));
      case OVERLOADED -> scheduleCall(now, pauseAfterOverload());
      case FULL, CACHED, CHANGES, OPERATOR -> {
        if (update.kind().isFullList()) {
          servers.keySet().retainAll(update.serverIds());
        }
        for (ServerEntry entry : update.entries()) {
          applyEntry(now, entry);
        }
      }
    }
    if (update.kind().isAnswer()) {
      subscribed = true;
      consecutiveFailures = 0;
      consecutiveOverloads = 0;
      nextCallAt = Double.POSITIVE_INFINITY;
    }
    if (!started && settings.callsForList()) {
      // Balancers that restart together spread their first calls.
      double spread = START_SPREAD_SECONDS_PER_INSTANCE * settings.instances();
      scheduleCall(now, Math.min(MAX_START_SPREAD_SECONDS, spread) * random.nextDouble());
    }
    started = true;
  }

  /**
   * Returns the pause after a failed call. Discovery is small and shared, so balancers whose calls
   * failed together back off with jitter, but always for less than {@code callWithin}.
   */
  private double pauseAfterFailure(double now) {
    boolean subscriptionLost = subscribed;
    subscribed = false;
    consecutiveFailures = Math.min(consecutiveFailures + 1, 8);
    double partOfCallWithin = settings.contract().callWithin() * 0.4;
    double longest =
        Math.max(settings.tickSeconds(), Math.min(MAX_PAUSE_SECONDS, partOfCallWithin));
    double pause = Math.min(longest, 0.25 * Math.pow(2, consecutiveFailures));
    pause *= 0.5 + 0.5 * random.nextDouble();
    return subscriptionLost ? Math.max(pause, resubscribeSpread(now) * random.nextDouble()) : pause;
  }

  /** Returns the time over which a fleet spreads its calls after losing its subscriptions. */
  private double resubscribeSpread(double now) {
    double timeLeft = freshness.missingChangesSince() + RESUBSCRIBE_WITHIN_SECONDS - now;
    double spread =
        Math.min(
            MAX_RESUBSCRIBE_SPREAD_SECONDS,
            RESUBSCRIBE_SPREAD_SECONDS_PER_INSTANCE * settings.instances());
    return Math.max(0, Math.min(spread, timeLeft));
  }

  private double pauseAfterOverload() {
    subscribed = false;
    consecutiveOverloads++;
    double first =
        Math.min(
            MAX_FIRST_OVERLOAD_PAUSE_SECONDS,
            OVERLOAD_PAUSE_SECONDS_PER_INSTANCE * settings.instances());
    double grown =
        Math.max(MIN_FIRST_OVERLOAD_PAUSE_SECONDS, first)
            * Math.pow(OVERLOAD_PAUSE_GROWTH, consecutiveOverloads);
    return Math.min(MAX_OVERLOAD_PAUSE_SECONDS, grown)
        * (MIN_OVERLOAD_PAUSE_PART + (1 - MIN_OVERLOAD_PAUSE_PART) * random.nextDouble());
  }

  private void applyEntry(double now, ServerEntry entry) {
    ServerHealth server = servers.get(entry.id());
    if (entry.state() == ServerEntry.State.GONE) {
      servers.remove(entry.id());
    } else if (server == null) {
      servers.put(entry.id(), new ServerHealth(entry, now, settings));
    } else {
      server.updateEntry(entry, now);
    }
  }

  private void scheduleCall(double now, double delay) {
    nextCallAt = now + delay;
    actions.setTimer(Balancer.FEED_TIMER_TOKEN, delay);
  }

  /** Handles the feed's timer. */
  void onTimer(double now) {
    if (subscribed || !settings.callsForList()) {
      return;
    }
    if (now + 1e-6 >= nextCallAt) {
      actions.subscribe(true);
      // Calls again if this call is never answered, but not while it may still wait in discovery's
      // queue: discovery would then work on calls that were already repeated.
      scheduleCall(now, MAX_CALL_SECONDS);
    }
  }
}
