package beamspread.replay;

import java.io.IOException;
import java.net.InetSocketAddress;

/** Where real nodes come from. */
public interface ReplayNodes {
  /** A node that runs. */
  interface Running {
    /** Where clients reach it. */
    InetSocketAddress address();

    /** Ends it at once, with all that it has taken. */
    void kill();
  }

  /**
   * Starts a node; returns once it serves.
   *
   * @param number which of the fleet's it is
   * @param config what {@code ROUTER_CONFIG} is to hold, with {@code listen} on port 0
   * @param pool what its {@code pool_file} is to hold
   */
  Running start(int number, String config, String pool) throws IOException, InterruptedException;
}
