package beamspread.node.client;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** How many bytes each client connection holds of one kind. Runs on the event loop only. */
final class HeldBytes {
  private final Map<ClientHandler, Integer> bytesByClient = new HashMap<>();
  private long total;

  /**
   * Records what a client holds.
   *
   * @param bytes 0 for nothing
   */
  void update(ClientHandler client, int bytes) {
    Integer previous = bytes == 0 ? bytesByClient.remove(client) : bytesByClient.put(client, bytes);
    total += bytes - (previous == null ? 0 : previous);
  }

  /** Returns the sum over all clients. */
  long total() {
    return total;
  }

  /** Returns the clients that hold something. */
  Iterable<ClientHandler> clients() {
    return List.copyOf(bytesByClient.keySet());
  }

  /** Returns the one of these clients that holds most; null if there is none. */
  ClientHandler largest(Predicate<ClientHandler> candidates) {
    ClientHandler largest = null;
    int largestBytes = 0;
    for (Map.Entry<ClientHandler, Integer> entry : bytesByClient.entrySet()) {
      if (entry.getValue() > largestBytes && candidates.test(entry.getKey())) {
        largest = entry.getKey();
        largestBytes = entry.getValue();
      }
    }
    return largest;
  }
}
