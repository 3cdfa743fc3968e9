package beamspread.node.client;

/**
 * Bounds the memory of answers that all client connections together have not read, large values
 * that are relayed aside. Beyond the bound, the client that holds most and does not read is closed;
 * beyond twice the bound, the one that holds most. Runs on the event loop only.
 */
public final class AnswerMemory {
  private final long maxBytes;
  private final HeldBytes held = new HeldBytes();

  /**
   * @param maxBytes maximum size of unread answers of all clients together
   */
  public AnswerMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Records the size of a client's unread answers.
   *
   * @param bytes 0 for none
   */
  void update(ClientHandler client, int bytes) {
    held.update(client, bytes);
    if (held.total() <= maxBytes) {
      return;
    }
    for (ClientHandler holder : held.clients()) {
      // What was recorded is as old as the holder's last answer.
      held.update(holder, holder.unreadAnswerBytes());
    }
    while (held.total() > maxBytes && closeLargest(held.total() > 2 * maxBytes)) {
      continue;
    }
  }

  private boolean closeLargest(boolean whetherOrNotItReads) {
    ClientHandler largest = held.largest(client -> whetherOrNotItReads || client.isReadStalled());
    if (largest == null) {
      return false;
    }
    held.update(largest, 0);
    largest.closeForUnreadAnswers();
    return true;
  }
}
