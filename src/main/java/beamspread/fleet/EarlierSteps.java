package beamspread.fleet;

import beamspread.fleet.api.Api;
import java.util.concurrent.TimeUnit;

/** Calls that agents turn down until steps of an earlier owner have ended there. */
final class EarlierSteps {
  private static final long AGAIN_MILLIS = 100;

  private final WorkLease lease;
  private final long giveUpAt;

  /**
   * Calls under a lease.
   *
   * @param longestMillis how long the steps are waited for, from now on
   */
  EarlierSteps(WorkLease lease, long longestMillis) {
    this.lease = lease;
    this.giveUpAt = System.nanoTime() + longestMillis * 1_000_000;
  }

  /** Asks an agent again and again while such steps are under way and the lease is held. */
  <T> T await(AgentClient agent, Fleet.Question<T> question) throws AgentCallException {
    while (true) {
      try {
        return question.ask(agent);
      } catch (AgentCallException e) {
        boolean waits = e.is(Api.FINISHING) && lease.held() && System.nanoTime() - giveUpAt < 0;
        if (!waits) {
          throw e;
        }
      }
      pause();
    }
  }

  private static void pause() throws AgentCallException {
    try {
      TimeUnit.MILLISECONDS.sleep(AGAIN_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AgentCallException("interrupted", false, null);
    }
  }
}
