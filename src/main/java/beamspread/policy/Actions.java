package beamspread.policy;

/** What a {@link Balancer} can do; the shell around it carries these out, in order. */
public interface Actions {
  /** Sends the request's next attempt to a server; a timeout of 0 waits as long as the client. */
  void send(String requestId, long server, double timeout);

  /** Stops waiting for one attempt. */
  void cancel(String requestId, int attempt);

  /** Final answer: not done, trying again does no harm; {@code retryAfter} of 0 is no advice. */
  void refuse(String requestId, double retryAfter);

  /** Final answer: failed, perhaps with effect. */
  void fail(String requestId);

  /** Asks for a timer event with this token. */
  void wake(long token, double delay);

  /** A timer event is no longer wanted; it may come all the same. */
  default void cancelWake(long token) {}

  /** Subscribes to changes of the server list, or stops. */
  void subscribe(boolean on);

  /** Closes the idle connections to a server. */
  void closeIdle(long server);
}
