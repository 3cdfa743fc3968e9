package beamspread.policy;

import beamspread.model.MembershipUpdate;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Follows the list of servers and keeps asking for it where it must be asked. */
final class MembershipFeed {
  /**
   * Longest pause after a failed call, and longest wait for one's end, in seconds: a change counts
   * as told 6 s after it could be asked for, whatever has failed before (design 0012).
   */
  private static final double LONGEST_PAUSE = 1;

  private static final double LONGEST_CALL = 3;

  private final Settings settings;
  private final Actions actions;
  private final SplittableRandom random;
  private final TreeMap<Long, ServerHealth> servers = new TreeMap<>();
  private boolean launched;
  private boolean subscribed;
  private double callAt = Double.POSITIVE_INFINITY;
  private int failures;

  MembershipFeed(Settings settings, Actions actions, SplittableRandom random) {
    this.settings = settings;
    this.actions = actions;
    this.random = random;
  }

  /** All servers of the list that are ready, by id. */
  List<ServerHealth> ready() {
    return servers.values().stream().filter(ServerHealth::ready).toList();
  }

  /** Takes news of the list in. */
  void apply(double now, MembershipUpdate update) {
    switch (update.kind()) {
      case FAILED -> {
        // The list service is small and shared: back off with jitter so that balancers whose
        // calls failed together do not come back together, yet never as long as askWithin.
        subscribed = false;
        failures = Math.min(failures + 1, 8);
        double part = settings.contract().askWithin() * 0.4;
        double longest = Math.max(settings.tick(), Math.min(LONGEST_PAUSE, part));
        double pause = Math.min(longest, 0.25 * Math.pow(2, failures));
        callIn(now, pause * (0.5 + 0.5 * random.nextDouble()));
      }
      case FULL, REMEMBERED, CHANGES, BY_HAND -> {
        if (update.kind().whole()) {
          servers.keySet().retainAll(update.ids());
        }
        for (ServerEntry entry : update.entries()) {
          put(now, entry);
        }
      }
    }
    if (update.kind().answers()) {
      subscribed = true;
      failures = 0;
      callAt = Double.POSITIVE_INFINITY;
    }
    if (!launched && settings.asksForList()) {
      // Restarted balancers start together: spread their first calls by a little.
      callIn(now, Math.min(0.02 * settings.instances(), 0.5) * random.nextDouble());
    }
    launched = true;
  }

  private void put(double now, ServerEntry entry) {
    ServerHealth server = servers.get(entry.id());
    if (entry.state() == ServerEntry.State.GONE) {
      servers.remove(entry.id());
    } else if (server == null) {
      servers.put(entry.id(), new ServerHealth(entry, now, settings));
    } else {
      server.listed(entry, now);
    }
  }

  private void callIn(double now, double delay) {
    callAt = now + delay;
    actions.wake(Balancer.FEED_TOKEN, delay);
  }

  /** The feed's timer came due. */
  void timer(double now) {
    if (subscribed || !settings.asksForList()) {
      return;
    }
    if (now + 1e-6 >= callAt) {
      actions.subscribe(true);
      // A call whose answer never comes must not leave this balancer silent; one that waits for its
      // turn must not be given up, or the list's service works for those that have asked anew.
      callIn(now, LONGEST_CALL);
    }
  }
}
