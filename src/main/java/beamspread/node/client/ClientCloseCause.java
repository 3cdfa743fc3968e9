package beamspread.node.client;

/** Why a connection of a client ended. */
public enum ClientCloseCause {
  /** The client closed or reset it, or the network failed. */
  BY_CLIENT,

  /** It was idle for too long. */
  IDLE,

  /** The node ends, and all answers were given. */
  DRAINED,

  /** It gave way to another connection while no request used it. */
  EVICTED,

  /** There was no descriptor for it. */
  REFUSED,

  /** Its input was rejected: invalid, incomplete for too long, or too much. */
  REJECTED,

  /** The client did not read its answers. */
  ANSWERS_UNREAD,

  /** A value that the client had received in part could not be completed. */
  VALUE_INCOMPLETE,

  /** An error of the program or the network in its handler. */
  ERROR
}
