package beamspread.policy;

/** Why this balancer, and not a server, gave a request its final answer. */
public enum UnservedCause {
  /** More requests are in flight than are answered within the class's aim. */
  OVERLOAD,
  /** The limit on open requests is reached. */
  TOO_MANY_OPEN,
  /** The list of servers has expired. */
  LIST_EXPIRED,
  /** No server may receive the request. */
  NO_SERVER,
  /** An attempt failed, and the retry budget is used up. */
  NO_RETRY,
  /** The request's deadline has passed. */
  TIME_UP,
  /** The settings don't name the request's class. */
  UNKNOWN_CLASS
}
