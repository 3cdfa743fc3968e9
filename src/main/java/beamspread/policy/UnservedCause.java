package beamspread.policy;

/** Why a request got its final answer from this balancer and not from a server. */
public enum UnservedCause {
  /** More is under way than is answered within the class's aim. */
  OVERLOAD,
  /** As many requests are open as may be. */
  TOO_MANY_OPEN,
  /** The list of servers is too old to be acted on. */
  LIST_EXPIRED,
  /** No server may take it. */
  NO_SERVER,
  /** An attempt failed, and no further one is earned. */
  NO_RETRY,
  /** Its time is up. */
  TIME_UP,
  /** Its class is not known. */
  UNKNOWN_CLASS
}
