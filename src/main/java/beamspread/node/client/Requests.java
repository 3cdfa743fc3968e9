package beamspread.node.client;

import beamspread.node.wire.MetaCommand;

/** Where the requests of clients go. All of it runs on the event loop. */
public interface Requests {
  /** A request that was taken. */
  interface Taken {
    /** The client has closed its connection. */
    void clientGone();
  }

  /**
   * Takes a request, whose answer goes to this place; null if it was answered at once.
   *
   * @param unreadNanos how long it may have lain unread, 0 where it was read as it came
   */
  Taken request(MetaCommand command, ClientHandler.Slot slot, long unreadNanos);

  /** A request of this class was refused before it got this far. */
  void refused(String serviceClass);

  /** Tells of a fault of the program itself. */
  void report(String where, Throwable cause);
}
