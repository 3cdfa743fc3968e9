package beamspread.model;

/**
 * One line of the list of cache servers.
 *
 * @param id the server's id, the same at every balancer
 * @param zone where it stands; empty if the list does not say
 * @param kind the machine kind
 * @param cell the cell it belongs to
 * @param state what the list says of it
 * @param weight a number to set against those of other servers
 * @param startedAt the clock's time of its last start, 0 for long ago
 */
public record ServerEntry(
    long id, String zone, String kind, int cell, State state, double weight, double startedAt) {

  /** What the list says of a server. */
  public enum State {
    READY,
    DRAINING,
    GONE
  }
}
