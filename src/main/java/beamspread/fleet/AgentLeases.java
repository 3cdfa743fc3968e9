package beamspread.fleet;

import beamspread.fleet.api.Api;
import beamspread.fleet.api.Json;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The leases that agents give of a rollout's instances: taken from one agent after the other,
 * renewed at a third of their time, and given back at the end.
 */
final class AgentLeases {
  private final Fleet fleet;
  private final WorkLease workLease;
  private final RolloutRunner.Limits limits;
  private final RolloutTask task;
  private final String session = UUID.randomUUID().toString();
  private final Map<Target, Long> tokens = new HashMap<>();

  /** The agents that have given leases. */
  private final List<String> agents = new CopyOnWriteArrayList<>();

  private final ScheduledExecutorService renewing =
      Executors.newSingleThreadScheduledExecutor(
          runnable -> {
            Thread thread = new Thread(runnable, "leases");
            thread.setDaemon(true);
            return thread;
          });

  /** None are taken yet. */
  AgentLeases(Fleet fleet, WorkLease workLease, RolloutRunner.Limits limits, RolloutTask task) {
    this.fleet = fleet;
    this.workLease = workLease;
    this.limits = limits;
    this.task = task;
  }

  /** Renews, from now on, what is held. */
  void keepRenewing() {
    long every = limits.ttlMs() / 3;
    renewing.scheduleAtFixedRate(this::renew, every, every, TimeUnit.MILLISECONDS);
  }

  private void renew() {
    Api.LeaseEnd renewal = new Api.LeaseEnd(session, task.operation(), null);
    for (String agent : agents) {
      fleet.calls().execute(() -> renew(agent, renewal));
    }
  }

  private void renew(String agent, Api.LeaseEnd renewal) {
    try {
      fleet.clients().get(agent).renew(renewal);
    } catch (AgentCallException e) {
      // Steps under a lease that is gone are refused by their token.
    }
  }

  /**
   * Takes the leases of an agent's targets, once steps of an earlier owner have ended there.
   *
   * @throws AgentCallException if it does not give them; then none of them is held
   */
  void take(String agent, List<Target> targets) throws AgentCallException {
    AgentClient client = fleet.clients().get(agent);
    if (client == null) {
      throw new AgentCallException("agent " + agent + " is not in the inventory", false, null);
    }
    Api.LeaseAsk ask =
        new Api.LeaseAsk(
            session,
            task.operation(),
            task.plan().kind(),
            task.by(),
            targets.stream().map(Target::instance).toList(),
            limits.ttlMs(),
            Json.tree(task.wholePlan()));
    Api.LeaseGiven given =
        new EarlierSteps(workLease, limits.stepMs()).await(client, asked -> asked.lease(ask));
    agents.add(agent);
    targets.forEach(target -> tokens.put(target, given.tokens().get(target.instance())));
  }

  /** The token of a target's lease. */
  long token(Target target) {
    return tokens.get(target);
  }

  /** Gives all leases back, and tells how the operation ended. */
  void end(String state) {
    renewing.shutdownNow();
    for (String agent : agents) {
      try {
        fleet.clients().get(agent).release(new Api.LeaseEnd(session, task.operation(), state));
      } catch (AgentCallException e) {
        // The leases run out by themselves.
      }
    }
  }
}
