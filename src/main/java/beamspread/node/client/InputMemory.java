package beamspread.node.client;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the memory of input that all client connections together keep undecoded: commands behind
 * too many pending answers, and incomplete ones. Beyond the bound, the client that holds most is
 * turned away. Runs on the event loop only.
 */
public final class InputMemory {
  private final long maxBytes;
  private final Map<ClientHandler, Integer> bytesByClient = new HashMap<>();
  private long totalBytes;

  /**
   * @param maxBytes maximum capacity of all buffers together
   */
  public InputMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Records the capacity of the buffer in which a connection keeps its input.
   *
   * @param bytes 0 for none
   */
  void update(ClientHandler client, int bytes) {
    Integer previous = bytes == 0 ? bytesByClient.remove(client) : bytesByClient.put(client, bytes);
    totalBytes += bytes - (previous == null ? 0 : previous);
    while (totalBytes > maxBytes) {
      turnAwayLargest();
    }
  }

  /** Turns away the client that holds most, if any holds something. */
  void turnAwayLargest() {
    ClientHandler largest = null;
    int largestBytes = 0;
    for (Map.Entry<ClientHandler, Integer> entry : bytesByClient.entrySet()) {
      if (entry.getValue() > largestBytes) {
        largest = entry.getKey();
        largestBytes = entry.getValue();
      }
    }
    if (largest != null) {
      bytesByClient.remove(largest);
      totalBytes -= largestBytes;
      largest.turnAway();
    }
  }
}
