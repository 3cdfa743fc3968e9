package beamspread.node.server;

/** The connection that a large value is received on, for as long as it is. */
public interface ValueSource {
  /**
   * Resumes or pauses reading; while paused, data stays in the socket and holds up the cache
   * server.
   */
  void setReading(boolean enabled);

  /** Returns whether other attempts wait for answers behind the value. */
  boolean isShared();

  /** Closes the connection. */
  void close();
}
