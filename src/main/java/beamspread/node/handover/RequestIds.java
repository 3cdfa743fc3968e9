package beamspread.node.handover;

/** The ids of requests that the processes of one node have open, or that may still take effect. */
public interface RequestIds {
  /** For a node that shares no folder: its only process knows its own ids. */
  RequestIds OF_ONE_PROCESS = (idHash, keepNanos, repeatable) -> IdClaim.UNSHARED;

  /**
   * Claims an id before anything is sent for its request.
   *
   * @param idHash {@link beamspread.model.Hashes#of} the id
   * @param keepNanos for how long at most the claim holds unless it is released
   * @param repeatable whether the request may simply be run again
   */
  IdClaim claim(long idHash, long keepNanos, boolean repeatable);
}
