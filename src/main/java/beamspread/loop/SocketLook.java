package beamspread.loop;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Takes in what a socket holds now, between two turns of its event loop. What a loop has been told
 * is as old as its last turn; a decision that cannot be taken back (a close, a time-out) is made on
 * what is there. Costs one read or write that finds nothing, and no turn of the loop.
 *
 * <p>The handlers of the channel run within the call, so that it must come from a task of the loop,
 * never from within an event of the same channel.
 */
public final class SocketLook {
  private SocketLook() {}

  /** Reads what has come, whether or not the channel reads by itself. */
  public static void read(Channel channel) {
    if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe nio) {
      nio.read();
    }
  }

  /** Writes what the peer takes now. */
  public static void write(Channel channel) {
    if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe nio) {
      nio.forceFlush();
    }
  }

  /**
   * Accepts what has connected, up to the given number of rounds.
   *
   * @param listener a listening channel
   * @param accepted how many have been accepted so far
   */
  public static void accept(
      Channel listener, java.util.function.LongSupplier accepted, int rounds) {
    for (int i = 0; i < rounds; i++) {
      long before = accepted.getAsLong();
      read(listener);
      if (accepted.getAsLong() == before) {
        return;
      }
    }
  }
}
