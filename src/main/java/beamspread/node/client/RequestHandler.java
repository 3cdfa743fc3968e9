package beamspread.node.client;

import beamspread.node.wire.MetaCommand;

/** Handles the requests of clients. Runs on the event loop only. */
public interface RequestHandler {
  /** A request that was accepted and not answered yet. */
  interface AcceptedRequest {
    /** Called when the client has closed its connection. */
    void clientGone();

    /**
     * Called when the client is rejected, so that the request gets no further attempt; it is still
     * owed an answer.
     */
    void clientRejected();

    /** Returns whether a cache server may have run it. */
    boolean mayHaveRun();
  }

  /**
   * Accepts a request.
   *
   * @param slot receives the answer
   * @param maxUnreadNanos how long the request can have been unread at most, 0 if the event loop
   *     was not late
   * @return null if the request was answered at once
   */
  AcceptedRequest accept(MetaCommand command, ClientHandler.AnswerSlot slot, long maxUnreadNanos);

  /** Called when a request of this class was refused before it was passed here. */
  void requestRefused(String serviceClass);

  /**
   * Called when this node has closed a client's connection although it owed answers there.
   *
   * @param description which one, why, and how much was owed
   */
  void connectionClosed(String description);

  /** Reports an unexpected exception. */
  void reportError(String component, Throwable cause);
}
