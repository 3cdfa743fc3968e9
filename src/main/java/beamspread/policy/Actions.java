package beamspread.policy;

/** The actions of a {@link Balancer}; its host carries them out in the order of the calls. */
public interface Actions {
  /** Sends the request's next attempt; a timeout of 0 waits until the client's deadline. */
  void send(String requestId, long server, double timeout);

  /** Cancels one attempt. */
  void cancel(String requestId, int attempt);

  /**
   * Stops waiting for an attempt whose reply has begun and makes no progress; it ends as timed out.
   */
  default void giveUp(String requestId, int attempt) {
    cancel(requestId, attempt);
  }

  /**
   * Gives the final answer "refused": the request was not carried out, and repeating it is safe.
   *
   * @param retryAfter seconds after which the client should retry; 0 for no advice
   */
  void refuse(String requestId, double retryAfter);

  /** Gives the final answer "failed": the request may have been carried out. */
  void fail(String requestId);

  /** Sets a timer that fires with this token after a delay in seconds. */
  void setTimer(long token, double delay);

  /** Cancels a timer; it may fire nevertheless. */
  default void cancelTimer(long token) {}

  /** Subscribes to changes of the server list, or unsubscribes. */
  void subscribe(boolean on);

  /** Closes the idle connections to a server. */
  void closeIdle(long server);
}
