package beamspread.policy;

import beamspread.model.Outcome;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Compares the load and the failures of each cache server with those of the others. */
final class FleetLoad {
  /** Part of a class's aim that a cache hit may take before its server counts as saturated. */
  private static final double HIT_PART_OF_AIM = 0.4;

  /** CPU utilization at which a server's queue grows long. */
  private static final double FULL_UTILIZATION = 0.85;

  /** Smallest figure that is used as the largest key share. */
  private static final double MIN_LARGEST_SHARE = 0.02;

  private double largestShare = 1;
  private double medianSaturation;
  private double bestFailureRate;
  private boolean fewFail;

  /** Recomputes the figures from these servers. */
  void update(double now, List<ServerHealth> servers) {
    // Shares are relative: what saturates all servers alike moves no key.
    largestShare =
        Math.max(MIN_LARGEST_SHARE, quantile(servers, server -> server.keyShare(now), 1));
    medianSaturation = quantile(servers, server -> server.saturation(now), 0.5);
    bestFailureRate = quantile(servers, server -> server.fetchFailureRate, 0.25);
    long failing = servers.stream().filter(server -> server.consecutiveUnserved > 1).count();
    fewFail = 3 * failing < servers.size();
  }

  /** Returns this quantile of a figure over the servers; 0 if there are none. */
  private static double quantile(
      List<ServerHealth> servers, ToDoubleFunction<ServerHealth> figure, double quantile) {
    double[] all = servers.stream().mapToDouble(figure).sorted().toArray();
    return all.length == 0 ? 0 : all[(int) Math.min(all.length - 1, quantile * all.length)];
  }

  /** Returns the largest key share of a server. */
  double largestShare() {
    return largestShare;
  }

  /** Returns the failure rate of fetches that a quarter of the servers do not exceed. */
  double bestFailureRate() {
    return bestFailureRate;
  }

  /** Returns whether few servers fail, so that the cause is not shared. */
  boolean fewFail() {
    return fewFail;
  }

  /** Returns whether a server does worse than the others, so that the fault is its own. */
  boolean isOutlier(double now, ServerHealth server) {
    return server.saturation(now) > saturationThreshold()
        || (fewFail && server.consecutiveUnserved >= ServerHealth.SUSPECT_AFTER_UNSERVED - 1);
  }

  private double saturationThreshold() {
    return Math.max(1, 1.5 * medianSaturation);
  }

  /**
   * Updates the server's saturation. Fetch times are left out: they depend on the origin. The
   * threshold follows the fleet's median: a slow origin delays hits at all servers, and must not
   * move keys to caches that lack them.
   *
   * @param originFails whether so many fetches fail that the origin is probably overloaded
   */
  void recordLoad(
      double now, PendingRequest call, ServerHealth server, Outcome outcome, boolean originFails) {
    boolean fetch = outcome.attempt() == call.fetchAttempt || outcome.note().isMiss();
    // A hung server has no hits to measure; while fetches succeed elsewhere, it is at fault.
    boolean hungServer =
        outcome.result() == Outcome.Result.TIMEOUT && (!originFails || isOutlier(now, server));
    double limit = saturationThreshold();
    if (outcome.load() != null && outcome.load().utilization() >= 0) {
      server.addSample(now, outcome.load().utilization() / FULL_UTILIZATION, limit);
    }
    if (call.request.write() || fetch && !hungServer && outcome.note() != Outcome.Note.HIT) {
      return;
    }
    if (outcome.result() == Outcome.Result.OK) {
      server.addSample(now, outcome.elapsedSeconds() / (HIT_PART_OF_AIM * call.type.aim()), limit);
    } else if (outcome.result() == Outcome.Result.TIMEOUT
        || outcome.result() == Outcome.Result.FULL) {
      server.addSample(now, 2, limit);
    }
  }
}
