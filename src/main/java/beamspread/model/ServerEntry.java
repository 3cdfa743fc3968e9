package beamspread.model;

/**
 * An entry of the list of cache servers.
 *
 * @param id the server's id, the same at every balancer
 * @param zone its zone; empty if the list does not name it
 * @param kind its machine kind
 * @param cell its cell
 * @param state its state according to the list
 * @param weight its capacity relative to other servers
 * @param startedAt time of its last start in seconds; 0 for long ago
 */
public record ServerEntry(
    long id, String zone, String kind, int cell, State state, double weight, double startedAt) {

  /** State of a server in the list. */
  public enum State {
    READY,
    DRAINING,
    GONE
  }
}
