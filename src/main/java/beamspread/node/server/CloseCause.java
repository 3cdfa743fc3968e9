package beamspread.node.server;

/** Why a connection to a cache server ended. */
public enum CloseCause {
  /** The server closed or reset it, or the network failed. */
  BY_SERVER,

  /** The server sent what can't be an answer. */
  INVALID_REPLY,

  /** The pool had no more use for it: idle, expired, stale, or nothing on it was awaited. */
  RETIRED,

  /** A large value on it was given up: its client left, or the server had fallen silent. */
  VALUE_GIVEN_UP
}
