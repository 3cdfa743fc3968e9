package beamspread.relay;

/**
 * The actions that a {@link Relay} requests for one value. They are carried out at once; their
 * results are reported to the {@link Relay} later, never from within one of these calls.
 */
public interface RelayActions {
  /** Resumes or pauses reading from the cache server. Reading is on at first. */
  void setReading(boolean enabled);

  /** Closes the cache server's connection, since the rest of the value is not worth reading. */
  void closeServerConnection();

  /**
   * Ends the value for the client in a way that shows that it is incomplete. Unless the client is
   * at fault, all bytes passed on before have been sent to it.
   */
  void cutClient();

  /** Returns whether other answers wait behind this value on the cache server's connection. */
  boolean isShared();

  /**
   * Called once, when the relay has ended for the client.
   *
   * @param complete whether the client has read the whole value
   */
  void ended(boolean complete);
}
