package beamspread.node.client;

/**
 * Bounds the memory of input that all client connections together keep undecoded: commands behind
 * too many pending answers, and incomplete ones. Beyond the bound, the client that holds most is
 * turned away. Runs on the event loop only.
 */
public final class InputMemory {
  private final long maxBytes;
  private final HeldBytes held = new HeldBytes();

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
    held.update(client, bytes);
    while (held.total() > maxBytes) {
      turnAwayLargest();
    }
  }

  /** Turns away the client that holds most, if any holds something. */
  void turnAwayLargest() {
    ClientHandler largest = held.largest(client -> true);
    if (largest != null) {
      held.update(largest, 0);
      largest.turnAway();
    }
  }
}
