package beamspread.cli;

import beamspread.fleet.Fleet;
import beamspread.fleet.LeaseKeeper;
import beamspread.fleet.LeaseSettings;
import beamspread.fleet.WorkLease;
import beamspread.lease.LeaseHeldException;
import beamspread.lease.LeaseStore;
import beamspread.lease.LeaseStoreException;
import picocli.CommandLine.Option;

/** Work on a fleet under its lease, and what to do where somebody else holds it. */
final class LeaseOptions {
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

  /** Does work under the fleet's lease; without one where the inventory names none. */
  int under(FleetAction action, Fleet fleet, String by, Work work) throws Exception {
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
      return work.run(lease);
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

  private LeaseKeeper.Otherwise otherwise() {
    if (takeOver) {
      return LeaseKeeper.Otherwise.TAKE_OVER;
    }
    return wait ? LeaseKeeper.Otherwise.WAIT : LeaseKeeper.Otherwise.REFUSE;
  }
}
