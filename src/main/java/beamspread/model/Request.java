package beamspread.model;

/**
 * A client's request as it arrives.
 *
 * @param id its id, never used twice
 * @param key what it is about; null where it names nothing
 * @param serviceClass the name of its class
 * @param tenant whose it is; null where there are no tenants
 * @param budget seconds until the client gives this try up
 * @param work the work expected of it in seconds of a standard core, 0 if unknown
 * @param size the value's size in bytes, 0 if unknown
 * @param repeat whether the client marked it as a repeat
 * @param write whether it changes the value
 */
public record Request(
    String id,
    String key,
    String serviceClass,
    String tenant,
    double budget,
    double work,
    double size,
    boolean repeat,
    boolean write) {

  /** The same about another key. */
  public Request about(String other) {
    return new Request(id, other, serviceClass, tenant, budget, work, size, repeat, write);
  }

  /** The same with so many seconds until it is given up. */
  public Request within(double seconds) {
    return new Request(id, key, serviceClass, tenant, seconds, work, size, repeat, write);
  }
}
