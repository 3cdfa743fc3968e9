package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.node.client.ClientConnections;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against a node that accepts hundreds of clients in one turn of its event loop, while those
 * that it evicts for them still hold their descriptors (incident 0003).
 */
class AcceptBurstTest {
  private static final int MAX_CONNECTIONS = 10;

  /** Connections that may come on top of the maximum before descriptors are released. */
  private static final int REPLACED_PER_TURN = 16;

  private static final int BURST = 200;
  private static final long STALL_NANOS = 100_000_000L;

  private long lastTurn;
  private volatile long lastAccepted;
  private long maxAcceptedPerTurn;

  /** Records how many connections each turn of the loop accepts; runs once in each turn. */
  private void record(Node node, EventLoop loop) {
    long turns = Math.max(1, node.watch().turn() - lastTurn);
    long accepted = node.acceptedClients() - lastAccepted;
    maxAcceptedPerTurn = Math.max(maxAcceptedPerTurn, accepted / turns);
    lastTurn = node.watch().turn();
    lastAccepted = node.acceptedClients();
    loop.schedule(() -> record(node, loop), 1, TimeUnit.MICROSECONDS);
  }

  @Test
  void acceptsFewClientsPerTurnAfterAStall() throws Exception {
    List<Peers.Client> clients = new ArrayList<>();
    ClientConnections.Limits limits = ClientConnections.Limits.defaults(MAX_CONNECTIONS);
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Rig rig = new Peers.Rig(limits, server)) {
      EventLoop loop = rig.node.loop();
      try (EventLoopHold hold = new EventLoopHold(rig.node, STALL_NANOS)) {
        lastTurn = rig.node.watch().turn();
        loop.execute(() -> record(rig.node, loop));
        for (int i = 0; i < BURST; i++) {
          clients.add(rig.client());
        }
        hold.release();
      }
      Peers.await("all are accepted and recorded", () -> lastAccepted == BURST);
      System.out.println("accepted in one turn: " + maxAcceptedPerTurn + " at most");
      assertThat(maxAcceptedPerTurn).isBetween(1L, (long) MAX_CONNECTIONS + REPLACED_PER_TURN);
    } finally {
      for (Peers.Client client : clients) {
        client.close();
      }
    }
  }
}
