package beamspread.pool;

/**
 * The actions that {@link Pools} requests. They are carried out at once; their results are reported
 * to {@link Pools} later, never from within one of these calls. The exceptions are {@link
 * #rejectUnreachable}, {@link #rejectFull} and a {@link #write} of a settled attempt, which may
 * lead to a new {@link Pools#send}.
 *
 * @param <A> the type of an attempt
 */
public interface PoolActions<A> {
  /**
   * Starts to open a connection; {@link Pools#connectionOpened} or {@link Pools#connectionFailed}
   * must follow.
   */
  void open(long server, long connectionId);

  /**
   * Writes an attempt to a connection. Returns false if it was not written because it is already
   * settled; its end is then not reported to the pools again.
   */
  boolean write(long connectionId, A attempt);

  /**
   * Closes a connection on which no attempt is awaited; {@link Pools#connectionClosed} must follow.
   */
  void close(long connectionId);

  /** Fails an attempt that was never written, since no connection is available. */
  void rejectUnreachable(A attempt);

  /**
   * Fails an attempt that was never written, so that it is sent to another server: this server is
   * up and accepts no more connections, and all the accepted ones are streaming large values.
   */
  void rejectFull(A attempt);
}
