package beamspread.node.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.loop.EventLoopMonitor;
import beamspread.loop.UnreleasedSockets;
import beamspread.node.wire.MemoryBudget;
import beamspread.node.wire.MetaCommand;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The idle timeout of client connections depends on how many are open. */
class ClientConnectionsTest {
  private static final int MAX_CONNECTIONS = 210;
  private static final ClientConnections.Limits LIMITS =
      ClientConnections.Limits.defaults(MAX_CONNECTIONS);

  /** Fails on any request, since these tests send none. */
  private static final RequestHandler NO_REQUESTS =
      new RequestHandler() {
        @Override
        public AcceptedRequest accept(
            MetaCommand command, ClientHandler.AnswerSlot slot, long unreadNanos) {
          throw new AssertionError("unexpected request");
        }

        @Override
        public void connectionClosed(String description) {}

        @Override
        public void requestRefused(String serviceClass) {
          throw new AssertionError("unexpected request");
        }

        @Override
        public void reportError(String where, Throwable cause) {
          throw new AssertionError(where, cause);
        }
      };

  private final EventLoopMonitor monitor = new EventLoopMonitor(pause -> {});
  private final ClientConnections connections =
      new ClientConnections(
          LIMITS,
          monitor,
          new UnreleasedSockets(monitor),
          new InputMemory(1 << 20),
          new AnswerMemory(1 << 20));
  private final List<EmbeddedChannel> open = new ArrayList<>();

  private void open(int count) {
    while (connections.openCount() < count) {
      MetaCommand.Decoder decoder = new MetaCommand.Decoder(new MemoryBudget(0), List.of());
      open.add(new EmbeddedChannel(decoder, new ClientHandler(NO_REQUESTS, connections, decoder)));
    }
  }

  /** Opens one more connection, which sends this text. */
  private void openAndSend(String text) {
    MetaCommand.Decoder decoder = new MetaCommand.Decoder(new MemoryBudget(0), List.of());
    EmbeddedChannel channel =
        new EmbeddedChannel(decoder, new ClientHandler(NO_REQUESTS, connections, decoder));
    open.add(channel);
    if (channel.isActive()) {
      channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }
  }

  @AfterEach
  void close() {
    open.forEach(EmbeddedChannel::close);
    assertEquals(0, connections.openCount());
  }

  @Test
  void keepsFullIdleTimeoutWhileFewConnectionsAreOpen() {
    open(MAX_CONNECTIONS / 3);
    assertEquals(LIMITS.idleTimeoutNanos(), connections.idleTimeoutNanos());
  }

  /**
   * A large tier normally has half of the connections open. With an idle timeout of 0.1 s at that
   * point, some thirty closes in twenty seconds crossed a request.
   */
  @Test
  void idleTimeoutAtHalfCapacityExceedsPausesOfClients() {
    open(MAX_CONNECTIONS / 2);
    assertTrue(
        connections.idleTimeoutNanos() >= 900_000_000L, connections.idleTimeoutNanos() + " ns");
  }

  @Test
  void idleTimeoutShrinksToMinimumAsConnectionsOpen() {
    long previousNanos = Long.MAX_VALUE;
    for (int count = 10; count <= MAX_CONNECTIONS; count += 10) {
      open(count);
      assertTrue(connections.idleTimeoutNanos() <= previousNanos, count + " open");
      previousNanos = connections.idleTimeoutNanos();
    }
    assertEquals(LIMITS.crowdedIdleTimeoutNanos(), previousNanos, 1);
  }

  /** Guards against refused connections that make room for the next ones (incident 0003). */
  @Test
  void openConnectionsNeverExceedTheMaximum() {
    for (int i = 0; i < 3 * MAX_CONNECTIONS; i++) {
      openAndSend("mg key-");
      assertTrue(connections.openCount() <= MAX_CONNECTIONS, connections.openCount() + " open");
    }
    assertEquals(MAX_CONNECTIONS, open.stream().filter(EmbeddedChannel::isActive).count());
  }

  /** Guards against closed sockets that still hold their descriptors (incident 0003). */
  @Test
  void socketsClosedInThisTurnCountAgainstTheDescriptors() {
    open(MAX_CONNECTIONS);
    assertTrue(connections.mayAccept(0));
    for (int i = 0; i < 100; i++) {
      open.remove(0).close();
    }
    assertTrue(connections.mayAccept(0), "as many as were open hold descriptors");
    assertFalse(connections.mayAccept(100), "those that are accepted come on top");
  }

  @Test
  void connectionsOfOtherProcessesShortenIdleTimeout() {
    open(MAX_CONNECTIONS / 3);
    connections.setHeldByOtherProcesses(MAX_CONNECTIONS / 2);
    assertEquals(LIMITS.crowdedIdleTimeoutNanos(), connections.idleTimeoutNanos(), 1);
  }
}
