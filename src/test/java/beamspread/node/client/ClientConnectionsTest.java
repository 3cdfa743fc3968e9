package beamspread.node.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.loop.EventLoopMonitor;
import beamspread.node.wire.MemoryBudget;
import beamspread.node.wire.MetaCommand;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** How long clients' connections are kept between requests. */
class ClientConnectionsTest {
  private static final int MOST = 210;
  private static final ClientConnections.Limits LIMITS = ClientConnections.Limits.usual(MOST);

  /** Nobody asks for anything here. */
  private static final Requests SILENT =
      new Requests() {
        @Override
        public Taken request(MetaCommand command, ClientHandler.Slot slot, long unreadNanos) {
          throw new AssertionError("nobody asks");
        }

        @Override
        public void refused(String serviceClass) {
          throw new AssertionError("nobody asks");
        }

        @Override
        public void report(String where, Throwable cause) {
          throw new AssertionError(where, cause);
        }
      };

  private final ClientConnections connections =
      new ClientConnections(LIMITS, new EventLoopMonitor(pause -> {}));
  private final List<EmbeddedChannel> open = new ArrayList<>();

  private void open(int count) {
    while (connections.count() < count) {
      MetaCommand.Decoder decoder = new MetaCommand.Decoder(new MemoryBudget(0), List.of());
      open.add(new EmbeddedChannel(decoder, new ClientHandler(SILENT, connections, decoder)));
    }
  }

  @AfterEach
  void close() {
    open.forEach(EmbeddedChannel::close);
    assertEquals(0, connections.count());
  }

  @Test
  void whileFewAreOpenNoneClosesEarly() {
    open(MOST / 3);
    assertEquals(LIMITS.idleNanos(), connections.restNanos());
  }

  /**
   * Half of them are what a large tier holds on a usual day. With a rest of a tenth of a second
   * there, some thirty closes in twenty seconds crossed a request.
   */
  @Test
  void whatIsHalfFullKeepsThemForLongerThanClientsPause() {
    open(MOST / 2);
    assertTrue(connections.restNanos() >= 900_000_000L, connections.restNanos() + " ns");
  }

  @Test
  void theFullerTheShorterDownToTheShortest() {
    long before = Long.MAX_VALUE;
    for (int count = 10; count <= MOST; count += 10) {
      open(count);
      assertTrue(connections.restNanos() <= before, count + " open");
      before = connections.restNanos();
    }
    assertEquals(LIMITS.crowdedNanos(), before, 1);
  }

  @Test
  void whatOtherProcessesHoldCountsAsFull() {
    open(MOST / 3);
    connections.share(MOST / 2);
    assertEquals(LIMITS.crowdedNanos(), connections.restNanos(), 1);
  }
}
