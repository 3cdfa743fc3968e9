package beamspread.cli;

import beamspread.fleet.AgentCallException;
import beamspread.fleet.Fleet;
import beamspread.fleet.FleetFence;
import beamspread.fleet.LeaseKeeper;
import beamspread.fleet.LeaseSettings;
import beamspread.fleet.RolloutRunner;
import beamspread.fleet.Unreachable;
import beamspread.fleet.WorkLease;
import beamspread.fleet.api.Api;
import beamspread.lease.LeaseHeldException;
import beamspread.lease.LeaseStore;
import beamspread.lease.LeaseStoreException;
import java.util.List;
import picocli.CommandLine.Option;

/** Work on a fleet under its lease, and what to do where somebody else holds it. */
final class LeaseOptions {
  /** Said where agents have not heard of a new owner, and nobody has allowed to go on. */
  private static final String UNAWARE =
      "nothing was begun, since these agents have not heard who owns the work now and may still act"
          + " for an earlier owner: --allow-unreachable goes on without them";

  @Option(names = "--wait", description = "wait while somebody else works on the fleet")
  private boolean wait;

  @Option(
      names = "--take-over",
      description =
          "take the work over from whoever holds the lease: it stops at its next step, and is"
              + " refused if it does not")
  private boolean takeOver;

  /** What is done under the lease. */
  interface Work {
    /** Does it; returns the exit code. */
    int run(WorkLease lease) throws Exception;
  }

  /** Refuses options that make no sense here, before anybody is asked anything. */
  void check(FleetAction action, Fleet fleet) {
    if (wait && takeOver) {
      throw action.usage("either --wait or --take-over");
    }
    if (fleet.inventory().lease() == null && (wait || takeOver)) {
      throw action.usage("the inventory has no [lease]: there is nothing to wait for or take");
    }
  }

  /**
   * Does work under the fleet's lease, once all agents refuse earlier owners; without a lease where
   * the inventory names none.
   *
   * @throws AwayException if agents did not hear of it, and that is not allowed: nothing was begun
   */
  int under(FleetAction action, Fleet fleet, String by, AwayOptions away, Work work)
      throws Exception {
    check(action, fleet);
    LeaseSettings settings = fleet.inventory().lease();
    if (settings == null) {
      return work.run(WorkLease.NONE);
    }
    try (LeaseStore store = LeaseStores.open(settings);
        LeaseKeeper lease =
            LeaseKeeper.acquire(
                store,
                settings.rollout(),
                by,
                settings.durationNanos(),
                otherwise(),
                held -> action.err().println(held.getMessage() + ": waiting"))) {
      action
          .err()
          .println(
              "owner of " + lease.token().name() + ": " + by + ", token " + lease.token().epoch());
      return raiseFence(action, fleet, lease, away) ? work.run(lease) : 1;
    } catch (LeaseHeldException e) {
      action
          .err()
          .println(
              "nothing was begun: "
                  + e.getMessage()
                  + " since "
                  + FleetAction.time(e.lease().acquiredMillis()));
      action.err().println("--wait waits for its end, --take-over takes the work over");
      if (action.json()) {
        action.print(e.lease());
      }
      return 1;
    } catch (LeaseStoreException e) {
      action.err().println("nothing was begun: " + e.getMessage());
      return FleetAction.UNKNOWN;
    }
  }

  /** Has all agents refuse earlier owners; whether anything may be begun. */
  private static boolean raiseFence(
      FleetAction action, Fleet fleet, WorkLease lease, AwayOptions away) throws AwayException {
    long longestStep = RolloutRunner.Limits.usual().stepMs();
    Fleet.Answers<Api.LeaseTold> told = new FleetFence(fleet, lease, longestStep).raise();
    for (AgentCallException failure : told.failures().values()) {
      if (failure.is(Api.STALE_TOKEN)) {
        action.err().println("nothing was begun: " + failure.getMessage());
        return false;
      }
    }
    List<Unreachable> unaware = told.unreachable();
    if (!unaware.isEmpty() && !lease.held()) {
      unaware.forEach(one -> action.err().println(one.reason()));
      action.err().println("nothing was begun: the lease was lost while agents were told");
      return false;
    }
    if (!unaware.isEmpty() && !away.allow) {
      throw new AwayException(UNAWARE, unaware);
    }
    unaware.forEach(one -> action.err().println(one.reason() + "; it may act for earlier owners"));
    return true;
  }

  private LeaseKeeper.Otherwise otherwise() {
    if (takeOver) {
      return LeaseKeeper.Otherwise.TAKE_OVER;
    }
    return wait ? LeaseKeeper.Otherwise.WAIT : LeaseKeeper.Otherwise.REFUSE;
  }
}
