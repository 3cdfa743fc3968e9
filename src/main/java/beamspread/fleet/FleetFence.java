package beamspread.fleet;

import beamspread.fleet.api.Api;

/**
 * Shows a new owner's token to all agents of a fleet before anything is done under it. Without that
 * an earlier owner could still act at an agent that the new one does not work on, while the new one
 * works on others: together they could take out more than either may.
 */
public final class FleetFence {
  private final Fleet fleet;
  private final WorkLease lease;
  private final long longestStepMillis;

  /**
   * A fence around a fleet.
   *
   * @param longestStepMillis how long a step of an earlier owner's is waited for
   */
  public FleetFence(Fleet fleet, WorkLease lease, long longestStepMillis) {
    this.fleet = fleet;
    this.lease = lease;
    this.longestStepMillis = longestStepMillis;
  }

  /**
   * Tells all agents, at the same time, and waits until steps that earlier owners have under way
   * there have ended.
   *
   * @return the agents that know the token; those that don't may still act for an earlier owner
   */
  public Fleet.Answers<Api.LeaseTold> raise() {
    fleet.clients().values().forEach(client -> client.fence(lease.token()));
    EarlierSteps earlier = new EarlierSteps(lease, longestStepMillis);
    return fleet.ask(Selection.all(), client -> earlier.await(client, AgentClient::announce));
  }
}
