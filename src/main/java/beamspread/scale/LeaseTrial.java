package beamspread.scale;

import beamspread.fleet.AgentCallException;
import beamspread.fleet.AgentClient;
import beamspread.fleet.Fleet;
import beamspread.fleet.api.Api;
import beamspread.fleet.api.Kind;
import beamspread.lease.FencingToken;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * What it takes a new owner to make its token known to all agents, one after the other as a rollout
 * does it: each writes and syncs it before it answers. The agents are hollow ones, each with its
 * own server, record and files.
 */
public final class LeaseTrial {
  private static final String NAME = "rollout/measured";
  private static final long TTL_MILLIS = 120_000;

  /**
   * The seconds that it took to take leases of one instance at each agent.
   *
   * @param unfenced without a token
   * @param known with a token that each agent has seen
   * @param higher with a new owner's token
   */
  public record Seconds(double unfenced, double known, double higher) {}

  private LeaseTrial() {}

  /**
   * Plays it once over so many agents.
   *
   * @throws Exception if an agent could not be started, or refused a call
   */
  public static Seconds play(int agents, Path folder) throws Exception {
    List<Path> files = new ArrayList<>();
    for (int i = 0; i < agents; i++) {
      files.add(AgentTrial.file(folder, i));
    }
    HollowFleet hollow = HollowFleet.start("agents", folder, files);
    try (Fleet fleet = AgentTrial.fleet(folder, 0, agents)) {
      // The first calls open the connections.
      takeAll(fleet, null, "first");
      takeAll(fleet, new FencingToken(NAME, 1), "owner-1");
      double unfenced = takeAll(fleet, null, "nobody");
      double known = takeAll(fleet, new FencingToken(NAME, 1), "owner-1-again");
      double higher = takeAll(fleet, new FencingToken(NAME, 2), "owner-2");
      return new Seconds(unfenced, known, higher);
    } finally {
      hollow.close();
    }
  }

  /** Takes a lease at each agent and gives it back; how long the taking took, in seconds. */
  private static double takeAll(Fleet fleet, FencingToken token, String session)
      throws AgentCallException {
    long nanos = 0;
    for (var entry : fleet.clients().entrySet()) {
      AgentClient client = entry.getValue();
      String instance = entry.getKey().replace("agent-", "a");
      client.fence(token);
      Api.LeaseAsk ask =
          new Api.LeaseAsk(
              session, session, Kind.RELOAD, session, List.of(instance), TTL_MILLIS, null);
      long began = System.nanoTime();
      client.lease(ask);
      nanos += System.nanoTime() - began;
      client.release(new Api.LeaseEnd(session, session, "ended"));
    }
    return nanos / 1e9;
  }
}
