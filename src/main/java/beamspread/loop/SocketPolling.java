package beamspread.loop;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads, writes or accepts on one socket at once, between two turns of its event loop. What the
 * loop has seen is as old as its last turn, so a decision that can't be reverted (a close, a
 * timeout) first checks the current state of the socket. The cost is one read or write that may
 * find nothing, and no turn of the loop.
 *
 * <p>The channel's handlers run within the call, so it must come from a task of the loop, never
 * from within an event of the same channel.
 */
public final class SocketPolling {
  private SocketPolling() {}

  /** Reads available data, even if the channel's auto-read is off. */
  public static void readNow(Channel channel) {
    if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe nio) {
      nio.read();
    }
  }

  /** Writes as much pending data as the socket accepts now. */
  public static void writeNow(Channel channel) {
    if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe nio) {
      nio.forceFlush();
    }
  }

  /**
   * Accepts pending connections, up to the given number of rounds.
   *
   * @param listener a listening channel
   * @param acceptedCount returns how many connections have been accepted so far
   */
  public static void acceptNow(
      Channel listener, java.util.function.LongSupplier acceptedCount, int rounds) {
    for (int i = 0; i < rounds; i++) {
      long previousCount = acceptedCount.getAsLong();
      readNow(listener);
      if (acceptedCount.getAsLong() == previousCount) {
        return;
      }
    }
  }
}
